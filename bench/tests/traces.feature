Feature: Logged faults, unexplained connection losses and version regressions are reported

  Scenario Outline: A connection lost <case>
    # Guards against connections that a planned restart breaks, and against reporting
    # those that a killed or paused node explains.
    Given the disturbance "<name>" of "<target>" from <start> s to <end> s
    When a connection to "entry-1" that began at 10 s is lost at 11 s
    Then the reported breaches are "<breaches>"

    Examples:
      | case                       | name    | target  | start | end | breaches |
      | while the node was down    | kill    | entry-1 | 9     | 12  |          |
      | just after a pause         | pause   | entry-1 | 5     | 8   |          |
      | long after a pause         | pause   | entry-1 | 1     | 2   | P8       |
      | before the node was killed | kill    | entry-1 | 12    | 13  | P8       |
      | while another node was     | kill    | entry-2 | 9     | 12  | P8       |
      | while the node was stopped | restart | entry-1 | 9     | 12  | P8       |

  Scenario Outline: A stream that "entry-1" relays <case>
    # Guards against reporting a stream that ended because the node that ran it was
    # paused, and against ignoring one that the relaying node broke.
    Given the disturbance "pause" of "<target>" from 9 s to 12 s
    When a connection to "entry-1" for a stream of "entry-2" is lost with the reason "<reason>"
    Then the reported breaches are "<breaches>"

    Examples:
      | case                       | target  | reason                                  | breaches |
      | ends as its node is paused | entry-2 | the stream ended without a final answer |          |
      | ends while a third one is  | entry-3 | the stream ended without a final answer | P8       |
      | is refused by the relay    | entry-2 | connect: refused                        | P8       |

  Scenario Outline: A node's log has <line>
    # Guards against faults that show neither at callers nor at servers.
    Given the log line <line>
    Then the reported breaches are "<breaches>"

    Examples:
      | line                                                                   | breaches |
      | {"message": "invariant_violated", "invariant": "P2_calls_within_loan"} | P2       |
      | {"message": "task_failed", "task": "slots"}                            | log      |
      | Traceback (most recent call last):                                     | log      |
      | {"message": "request_finished", "outcome": "failed"}                   |          |

  Scenario Outline: A node reports the versions <versions>
    # Guards against a node that reverts to an earlier version, also after a restart.
    Given a node reports the versions <versions>
    Then the reported breaches are "<breaches>"

    Examples:
      | versions | breaches |
      | 1 2 2 3  |          |
      | 1 3 2 3  | P9       |

  Scenario Outline: A request ends as <outcome> after an answer <answer>
    # Guards against callers without an answer and refusals without retry_after_s.
    Given a request that ended as <outcome> after an answer <answer> with retry_after_s <retry_after_s>
    Then the reported breaches are "<breaches>"

    Examples:
      | outcome   | answer  | retry_after_s | breaches |
      | not_run   | not_run | 0.5           |          |
      | not_run   | not_run | null          | refusal  |
      | no_answer | lost    | null          |          |
      | no_answer | not_run | 0.5           | P4       |
