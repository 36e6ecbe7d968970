Feature: Promises hold while faults overlap

  # Guards against what no single fault shows; every seed that ever failed is kept.
  Scenario Outline: Seed <seed> with <nodes> nodes
    When the platform soak plays seed <seed> for <seconds> s with <nodes> nodes
    Then no promise was broken

    Examples:
      | seed | seconds | nodes |
      | 1    | 8       | 3     |

  # Guards against faults that were mended and come back.
  Scenario: Seeds that once failed
    When the platform soak plays the kept seeds
    Then no promise was broken
