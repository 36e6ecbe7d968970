Feature: The benchmark computes its figures from the records

  Scenario Outline: Capacity of <slots> slots, <replicas> replicas, cold factor <factor>
    # Guards against a capacity that differs from the work that the stand-ins can do.
    Given a pool of <replicas> engines with <slots> warm and 2 cold slots
    And a cold factor of <factor>, a batch growth of <growth> and <calls> warm-up calls
    Then its capacity is <warm> slot-seconds per second warm and <cold> cold
    And the maximum work in 10 s with calls of 0.5 s is <work>

    Examples:
      | replicas | slots | factor | growth | calls | warm | cold | work |
      | 1        | 8     | 2      | 0      | 20    | 8    | 1    | 10   |
      | 1        | 8     | 2      | 0      | 0     | 8    | 1    | 80   |
      | 2        | 8     | 1      | 0      | 8     | 16   | 4    | 136  |
      | 1        | 3     | 1      | 1      | 20    | 3    | 3    | 30   |

  Scenario Outline: Upper bound of the requests in time: <case>
    # Guards against counting requests that could not be served in time in any order.
    Given the deployment "laurentien" with warm servers
    When <requests> requests of kind "<kind>" arrive at the same time
    Then at most <bound> can be answered in time

    Examples:
      | case                       | requests | kind             | bound |
      | fewer than the slots carry | 100      | route_question   | 100   |
      | 48 slots for 4 s of 0.35 s | 1000     | route_question   | 551   |
      | 48 slots for 12 s of 2.84 s | 1000    | rota_rebuild     | 202   |
      | 48 slots for 5 s of 0.02 s | 1000     | shift_assignment | 1000  |

  Scenario Outline: A call that <case>
    # Guards against counting wasted work as useful.
    Given a call of 2 s and 10 tokens that <outcome>, of a request <answered> in time
    Then its cost at 3 per second is 6 and the wasted share is <share>

    Examples:
      | case                 | outcome     | answered     | share |
      | served its caller    | completed   | answered     | 0     |
      | came too late        | completed   | not answered | 1     |
      | was cancelled        | cancelled   | answered     | 1     |

  Scenario Outline: The settings disable <mechanism>
    # Guards against a mechanism that is enabled in a run reported as without it.
    Given the settings of "laurentien" without "<mechanism>"
    Then "<path>" is <value> and the settings are valid

    Examples:
      | mechanism     | path                  | value   |
      | retries       | retries.max_attempts  | 1       |
      | retry_budgets | retries.budget_burst  | 1000000 |
      | prefix_hints  | routing.prefix_hints  | false   |
      | circuit       | routing.circuit       | false   |
      | admission     | admission.first_come  | true    |
