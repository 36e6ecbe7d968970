Feature: Retries respect repeatability and never amplify an overload

  # Guards against a booking that runs twice (P6), a wrong not_run (P5), and a retry on
  # the replica or in the failure domain that failed before.
  Scenario Outline: Decision after <error>, repeatable <repeatable>: <result>
    Given an attempt that failed with <error>
    And it is repeatable: <repeatable>, attempt <attempts>, <tokens> tokens delivered
    And <remaining> s remain for calls that take 0.5 s, sent before: <sent>
    Then the decision is "<result>"

    Examples:
      | error        | repeatable | attempts | tokens | remaining | sent | result                            |
      | refused      | no         | 1        | 0      | 5         | no   | retry without r1                  |
      | rejected     | no         | 1        | 0      | 5         | no   | retry without r1                  |
      | silent       | yes        | 1        | 0      | 5         | yes  | retry without r1                  |
      | silent       | yes        | 2        | 0      | 5         | yes  | retry without r1,a                |
      | silent       | no         | 1        | 0      | 5         | no   | unknown                           |
      | reset        | no         | 1        | 3      | 5         | no   | unknown                           |
      | reset        | yes        | 1        | 3      | 5         | no   | failed interrupted_after_delivery |
      | reset        | yes        | 3        | 0      | 5         | no   | failed attempts_exhausted         |
      | reset        | yes        | 1        | 0      | 0.2       | no   | failed deadline                   |
      | refused      | yes        | 1        | 0      | 0.2       | no   | not_run deadline                  |
      | refused      | yes        | 1        | 0      | 0.2       | yes  | failed deadline                   |
      | rejected     | yes        | 3        | 0      | 5         | no   | failed attempts_exhausted         |
      | no replica   | yes        | 3        | 0      | 5         | no   | not_run attempts_exhausted        |
      | invalid      | yes        | 1        | 0      | 5         | no   | invalid_request                   |

  # Guards against retry storms: if all calls fail, the retries stay near 10% of them.
  Scenario Outline: <customers> customers with <calls> calls get at most <retries> retries
    When <customers> customers make <calls> calls each and request a retry for each
    Then between <least> and <retries> retries were allowed

    Examples:
      | customers | calls | retries | least |
      | 1         | 100   | 20      | 15    |
      | 50        | 20    | 110     | 100   |

  # Guards against a split of the deadline that starves the slow stage, also for pools
  # without measurements.
  Scenario Outline: Split of <remaining> s over pools measured at <fast> s and <slow> s
    Given pool "fast" measured at <fast> s and pool "slow" at <slow> s
    When <remaining> s are split over fast, slow
    Then the slow stage gets <least> to <most> s and the sum is <remaining> s

    Examples:
      | fast | slow | remaining | least | most |
      | 0.1  | 1.0  | 5.5       | 4.5   | 5.3  |
      | none | none | 6         | 2.9   | 3.1  |
      | 0.1  | none | 6         | 3.0   | 5.9  |
      | 0.1  | 1.0  | 0         | 0     | 0    |

  # Guards against estimates that still reflect an earlier state of the pool.
  Scenario: Old samples lose their weight
    Given pool "fast" measured at 4.0 s and pool "slow" at 1.0 s
    When 200 s later pool "fast" is measured at 0.1 s 20 times
    Then the estimate of "fast" is below 0.2 s

  # Guards against hedging a call that must not run twice or cannot complete in time.
  Scenario Outline: Hedging enabled <enabled>, repeatable <repeatable>, <remaining> s left
    Given pool "fast" measured at 0.1 s and pool "slow" at 1.0 s
    Then hedging pool "slow" with <enabled>, <repeatable>, <remaining> s is <planned>

    Examples:
      | enabled | repeatable | remaining | planned |
      | yes     | yes        | 5         | planned |
      | no      | yes        | 5         | not     |
      | yes     | no         | 5         | not     |
      | yes     | yes        | 1.2       | not     |

  # Guards against retries that amplify an outage: in any 10 s, the retries of all nodes
  # together stay below 0.2 of the requests plus 54, also with many nodes.
  Scenario Outline: <nodes> nodes with <requests> requests each, all of which fail
    When <nodes> nodes with <requests> requests each in 10 s try to retry all of them
    Then together they sent between <least> and <most> retries

    Examples:
      | nodes | requests | most | least |
      | 1     | 20       | 58   | 20    |
      | 7     | 20       | 82   | 35    |
      | 65    | 10       | 184  | 65    |
      | 7     | 1000     | 1454 | 700   |
