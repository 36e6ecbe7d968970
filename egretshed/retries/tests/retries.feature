Feature: Retries neither repeat what may have run nor amplify an overload

  # Guards against a booking run twice (P6), a false not_run (P5), and a retry that
  # goes back to the replica or failure domain that failed.
  Scenario Outline: After <error>, repeatable <repeatable>: <result>
    Given an attempt that failed with <error>
    And it is repeatable: <repeatable>, attempt <attempts>, <tokens> tokens delivered
    And <remaining> s remain where a call takes 0.5 s, sent before: <sent>
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

  # Guards against retry storms: with everything failing, sent calls stay near 110%.
  Scenario Outline: <customers> customers with <calls> calls get at most <retries> retries
    When <customers> customers make <calls> calls each and every call wants a retry
    Then at most <retries> retries were allowed, and at least <least>

    Examples:
      | customers | calls | retries | least |
      | 1         | 100   | 20      | 15    |
      | 50        | 20    | 110     | 100   |

  # Guards against deadlines that starve the slow stage, and against guesses before
  # any call has been measured.
  Scenario Outline: <remaining> s over pools measured at <fast> s and <slow> s
    Given pool "fast" measured at <fast> s and pool "slow" at <slow> s
    When <remaining> s are divided over fast, slow
    Then the slow stage gets from <least> to <most> s and the sum is <remaining> s

    Examples:
      | fast | slow | remaining | least | most |
      | 0.1  | 1.0  | 5.5       | 4.5   | 5.3  |
      | none | none | 6         | 2.9   | 3.1  |
      | 0.1  | none | 6         | 3.0   | 5.9  |
      | 0.1  | 1.0  | 0         | 0     | 0    |

  # Guards against estimates that stay at the times of a past state of the pool.
  Scenario: Old samples fade
    Given pool "fast" measured at 4.0 s and pool "slow" at 1.0 s
    When 200 s later pool "fast" is measured at 0.1 s 20 times
    Then the estimate of "fast" is below 0.2 s

  # Guards against hedging what must not run twice or cannot end in time.
  Scenario Outline: Hedge enabled <enabled>, repeatable <repeatable>, <remaining> s left
    Given pool "fast" measured at 0.1 s and pool "slow" at 1.0 s
    Then hedging pool "slow" with <enabled>, <repeatable>, <remaining> s is <planned>

    Examples:
      | enabled | repeatable | remaining | planned |
      | yes     | yes        | 5         | planned |
      | no      | yes        | 5         | not     |
      | yes     | no         | 5         | not     |
      | yes     | yes        | 1.2       | not     |

  # Guards against retries that multiply an outage: summed over all nodes they stay under
  # 0.2 of the requests plus 54 in any 10 s, also with many nodes.
  Scenario Outline: <nodes> nodes with <requests> requests each, all of which fail
    When <nodes> nodes with <requests> requests each in 10 s want to retry everything
    Then together they sent at most <most> retries, and at least <least>

    Examples:
      | nodes | requests | most | least |
      | 1     | 20       | 58   | 20    |
      | 7     | 20       | 82   | 35    |
      | 65    | 10       | 184  | 65    |
      | 7     | 1000     | 1454 | 700   |
