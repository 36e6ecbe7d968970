Feature: Placing calls on usable replicas and logging each decision

  Scenario Outline: No call is placed on a replica that is <state>
    Given a router with policy "predictive" over 3 replicas
    And replica p-0 is <state>
    When a call is routed 9 times
    Then p-0 is never chosen and the log gives the reason "<lost>"

    Examples:
      | state             | lost          |
      | in an out domain  | domain_out    |
      | draining          | draining      |
      | leaving           | leaving       |
      | without slots     | no_slot       |
      | failing           | failing       |
      | tried before      | excluded      |

  Scenario: No call is placed while the configuration is stale
    Guards against work in a failure domain that has been taken out meanwhile.
    Given a router with policy "predictive" over 3 replicas
    And the configuration is stale
    When a call is routed
    Then the call is refused because of "configuration_stale"

  Scenario: A refused call requests slots
    Guards against calls that are refused for lack of slots that nobody requests.
    Given a router with policy "predictive" over 3 replicas
    And replica p-0 is without slots
    And replica p-1 is without slots
    And replica p-2 is without slots
    When a call is routed
    Then the call is refused because of "no_slot"
    And slots of 3 replicas were requested

  Scenario Outline: Policy <policy> spreads calls over all replicas
    Given a router with policy "<policy>" over 3 replicas
    When 90 calls are routed and complete
    Then each replica got <least> to <most> calls

    Examples:
      | policy       | least | most |
      | random       | 18    | 45   |
      | round_robin  | 30    | 30   |
      | least_loaded | 18    | 45   |
      | predictive   | 18    | 45   |

  Scenario Outline: The predictive policy guards against <failure>
    Given a router with policy "predictive" over 2 replicas
    And all past calls had their first token after 0.2 s
    And p-0 is "<first>" and p-1 is "<second>"
    When a call is routed
    Then p-0 is <chosen>

    Examples:
      | failure                                   | first           | second         | chosen     |
      | a cached prefix not being used            | cached          | plain          | chosen     |
      | a popular prefix overloading its replica  | cached load=6   | plain          | not chosen |
      | a full replica chosen over an idle one    | load=5          | load=0         | not chosen |
      | needless traffic between failure domains  | plain           | far            | chosen     |
      | distance outweighing load                 | load=6          | far            | not chosen |
      | a slow replica chosen over a fast one     | slow            | plain          | not chosen |
      | a replica chosen whose call was given up  | given-up        | load=6         | not chosen |

  Scenario: A slow server gets calls while it warms up
    Guards against a server that stays cold because its latency ranks it last.
    Given a router with policy "predictive" over 2 replicas
    And all past calls had their first token after 0.2 s
    And p-0 is "slow warming" and p-1 is "plain"
    When 90 calls are routed and complete
    Then each replica got 18 to 72 calls

  Scenario Outline: The policy least_loaded guards against <failure>
    Given a router with policy "least_loaded" over 2 replicas
    And p-0 is "<first>" and p-1 is "<second>"
    When a call is routed
    Then p-0 is <chosen>

    Examples:
      | failure                      | first  | second | chosen     |
      | the fuller replica of a pair | load=5 | load=1 | not chosen |
      | counting calls, not capacity | load=3 | load=2 limit=2 | chosen |

  Scenario Outline: Detection of a cold server guards against <failure>
    Given a router with policy "predictive" over 1 replicas
    And all past calls had their first token after 0.2 s
    When the outcome of a call is <end>
    Then the slot is released and the server <seems>

    Examples:
      | failure                                 | end                        | seems             |
      | load on a server that reloads weights   | a first token after 3 s    | seems cold        |
      | a cold limit after ordinary jitter      | a first token after 0.4 s  | does not seem cold |
      | a cold limit after the first long prompt | a first token of 3000 prompt tokens after 3 s | does not seem cold |
      | load on a server that refuses work      | a rejection                | seems cold        |
      | a cold limit for one evicted prefix     | nothing cached as expected | does not seem cold |
      | a cold limit for a prefix never cached  | nothing cached, unexpected | does not seem cold |
      | a cold limit after a lost connection    | a lost connection          | does not seem cold |
      | a slot lost by a cancelled call         | a cancellation             | does not seem cold |

  Scenario Outline: Detection of an empty prefix cache guards against <failure>
    Given a router with policy "predictive" over 1 replicas
    When calls expect the prefix "<expected>" and hit or miss it as in "<found>"
    Then the signs of a cold server are "<signs>"

    Examples:
      | failure                                  | expected      | found                  | signs           |
      | load on a server whose cache is gone     | as computed   | f*40 l l l             | none*42 cold    |
      | the same, with little known of it        | as computed   | l l l l l              | none*4 cold     |
      | a cold limit for evicted prefixes        | as computed   | f l l f l l f l l f l  | none*11         |
      | a cold limit where half is evicted       | as computed   | f l f l f l f l l f l l l l | none*14    |
      | a cold limit for a similar session's key | nearly the same | f*40 l l l l l l     | none*46         |
      | a sign per call of a server known cold   | as computed   | l l l l l l            | none*4 cold none |

  Scenario: A permanently slow server stops seeming cold
    Guards against a latency peak that stays too low after a change of model.
    Given a router with policy "predictive" over 1 replicas
    And all past calls had their first token after 0.2 s
    When 10 calls in a row have their first token after 2 s
    Then the server does not seem cold after the last one

  Scenario Outline: The circuit breaker guards against <failure>
    Given a router with policy "predictive" over 1 replicas
    When the outcomes of calls are "<ends>"
    And <seconds> s pass
    Then <allowed> of 2 concurrent calls are placed

    Examples:
      | failure                              | ends                       | seconds | allowed |
      | giving up after one error            | error error                | 0       | 2       |
      | calls wasted on a dead server        | error error error          | 0.4     | 0       |
      | a crowd of calls on a weak server    | error error error          | 0.6     | 1       |
      | a server put aside after it is well  | error error ok error error | 0       | 2       |

  Scenario: Without circuit breakers a failing replica still gets calls
    Guards against a benchmark baseline that leaves the circuit breakers on.
    Given a router with policy "predictive" over 1 replicas and "circuit" off
    When the outcomes of calls are "error error error"
    Then 2 of 2 concurrent calls are placed

  Scenario: Without prefix hints no prefix is expected
    Guards against a benchmark baseline that leaves the prefix hints on.
    Given a router with policy "predictive" over 1 replicas and "prefix_hints" off
    When calls expect the prefix "as computed" and hit or miss it as in "f l l l l l l"
    Then the signs of a cold server are "none*7"

  Scenario: The open period doubles with each failed trial call
    Guards against frequent trial calls to a server that is down for long.
    Given a router with policy "predictive" over 1 replicas
    When the outcomes of calls are "error error error"
    And 0.6 s pass
    And the outcomes of calls are "error"
    And 0.6 s pass
    Then 0 of 2 concurrent calls are placed

  Scenario: Another trial call is allowed after a cancelled one
    Guards against a circuit that stays open forever.
    Given a router with policy "predictive" over 1 replicas
    When the outcomes of calls are "error error error"
    And 0.6 s pass
    And the outcomes of calls are "cancelled"
    Then 1 of 2 concurrent calls are placed

  Scenario Outline: Cache hints guard against <failure>
    When the cache events of a replica are "<events>"
    Then the match of "<prefix>" is <match>

    Examples:
      | failure                          | events             | prefix | match |
      | a prefix that was evicted        | 1+abcd 2-abcd      | abcd   | 0     |
      | a removal lost in a gap          | 1+abcd 3+xy        | abcd   | 0     |
      | an old event applied twice       | 1+abcd 2-abcd 1+abcd | abcd | 0     |
      | a partial match counted as whole | 1+abcd             | abxy   | 0.5   |

  Scenario: Cache hints are bounded
    Guards against memory use that grows with the number of prompts.
    When the cache events of a replica add 1000 prefixes
    Then at most 256 are kept and the newest one matches

  Scenario: Each decision logs one line with its inputs
    Guards against decisions that cannot be explained afterwards.
    Given a router with policy "predictive" over 3 replicas
    When a call is routed
    Then one routing_decision line has the request, the chosen replica and the candidates
    And the counter of stage "generate" and the chosen replica is 1

  Scenario: A waiting call is placed when a slot is released
    Guards against a call that waits although a slot is free.
    Given a router with policy "predictive" over 1 replicas
    When a call waits up to 5 s and a slot becomes free after 1 s
    Then the call is placed after 1 s

  Scenario Outline: The subset of a large pool guards against <failure>
    Given a router with policy "predictive" over 40 replicas
    And the subset of this node <has> slots
    When 60 calls are routed and complete
    Then <least> to <most> replicas were used

    Examples:
      | failure                                  | has    | least | most |
      | renewals that grow with the pool         | has    | 2     | 8    |
      | a node idle while others have free slots | has no | 2     | 32   |

  Scenario Outline: The wait queue guards against <failure>
    Given a router with policy "predictive" over 2 replicas
    And calls wait for a slot: <waiting>
    When slots of <freed> become free one after the other
    Then the calls are placed in the order <order>

    Examples:
      | failure                                        | waiting                   | freed       | order |
      | long work placed before a short question       | a:p6:9s b:p1:9s           | p-0 p-0     | b a   |
      | a late deadline placed before an early one     | a:p1:9s b:p1:5s           | p-0 p-0     | b a   |
      | a later call of equal order placed first       | a:p1:9s b:p1:9s           | p-0 p-0     | a b   |
      | a slot left idle that only a later call can use | a:p1:9s:not-p-0 b:p6:9s  | p-0 p-1     | b a   |

  Scenario: A new call of lower priority does not overtake a waiting call
    Guards against a waiting call that starves while new ones are placed.
    Given a router with policy "predictive" over 1 replicas
    And calls wait for a slot: a:p1:9s
    When a slot of p-0 becomes free and a call of priority 6 arrives before a resumes
    Then the calls are placed in the order a

  Scenario: A call that is cancelled just after it was placed releases its slot
    Guards against a slot that is never released.
    Given a router with policy "predictive" over 1 replicas
    And calls wait for a slot: a:p1:9s
    When a slot of p-0 becomes free and a is cancelled before it resumes
    Then p-0 has 1 free slot
