Feature: Guarantees hold under overlapping faults

  # Guards against failures that need several faults at once. Seeds that failed are kept.
  Scenario Outline: Seed <seed> with <nodes> nodes
    When the platform soak runs seed <seed> for <seconds> s with <nodes> nodes
    Then no guarantee was violated

    Examples:
      | seed | seconds | nodes |
      | 1    | 8       | 3     |

  # Guards against the return of faults that were fixed.
  Scenario: Seeds that failed in the past
    When the platform soak runs the kept seeds
    Then no guarantee was violated
