Feature: The benchmark's figures follow from the records

  Scenario Outline: Capacity of <slots> slots, <replicas> replicas, cold factor <factor>
    # Guards against a bound that is not the work that the stand-ins can do.
    Given a pool of <replicas> engines with <slots> warm and 2 cold slots
    And a cold factor of <factor>, a batch growth of <growth> and <calls> warm-up calls
    Then it does <warm> slot-seconds a second warm and <cold> cold
    And the most work done in 10 s with calls of 0.5 s is <work>

    Examples:
      | replicas | slots | factor | growth | calls | warm | cold | work |
      | 1        | 8     | 2      | 0      | 20    | 8    | 1    | 10   |
      | 1        | 8     | 2      | 0      | 0     | 8    | 1    | 80   |
      | 2        | 8     | 1      | 0      | 8     | 16   | 4    | 136  |
      | 1        | 3     | 1      | 1      | 20    | 3    | 3    | 30   |

  Scenario Outline: Most requests in time: <case>
    # Guards against counting work that no order of requests could do in time.
    Given the deployment "laurentien" with warm servers
    When <requests> requests of kind "<kind>" arrive at one moment
    Then at most <bound> can be answered in time

    Examples:
      | case                       | requests | kind             | bound |
      | fewer than the slots carry | 100      | route_question   | 100   |
      | 48 slots for 4 s of 0.35 s | 1000     | route_question   | 551   |
      | 48 slots for 12 s of 2.84 s | 1000    | rota_rebuild     | 202   |
      | 48 slots for 5 s of 0.02 s | 1000     | shift_assignment | 1000  |

  Scenario Outline: A call that <case>
    # Guards against wasted work that is counted as useful.
    Given a call of 2 s and 10 tokens that <outcome>, of a request <answered> in time
    Then its cost at 3 per second is 6 and the wasted share <share>

    Examples:
      | case                 | outcome     | answered     | share |
      | served its caller    | completed   | answered     | 0     |
      | came too late        | completed   | not answered | 1     |
      | was cancelled        | cancelled   | answered     | 1     |

  Scenario Outline: Without <mechanism> the settings say so
    # Guards against a run that is reported without a mechanism but has it.
    Given the settings of "laurentien" without "<mechanism>"
    Then "<path>" is <value> and the settings are valid

    Examples:
      | mechanism     | path                  | value   |
      | retries       | retries.max_attempts  | 1       |
      | retry_budgets | retries.budget_burst  | 1000000 |
      | prefix_hints  | routing.prefix_hints  | false   |
      | circuit       | routing.circuit       | false   |
      | admission     | admission.first_come  | true    |
