Feature: The stand-in platforms fail as the platform's own adapter describes

  Scenario Outline: <fault> over <platform>
    # Guards against a fault that tells the wrong truth about what was written.
    Given a <platform> platform with the row "k"
    When the platform has the fault "<fault>"
    And "k" is written on condition of version <version>
    Then the write ends with "<error>"
    And the row "k" is <written>

    Examples:
      | platform | fault        | version | error               | written |
      | memory   | none         | 1       | nothing             | new     |
      | memory   | none         | 0       | TableConflict       | old     |
      | memory   | down         | 1       | TableUnavailable    | old     |
      | memory   | rate limit   | 1       | TableUnavailable    | old     |
      | memory   | lost reply   | 1       | TableOutcomeUnknown | new     |
      | memory   | lost request | 1       | TableOutcomeUnknown | old     |
      | http     | none         | 1       | nothing             | new     |
      | http     | none         | 0       | TableConflict       | old     |
      | http     | down         | 1       | TableUnavailable    | old     |
      | http     | rate limit   | 1       | TableUnavailable    | old     |
      | http     | lost reply   | 1       | TableOutcomeUnknown | new     |
      | http     | lost request | 1       | TableOutcomeUnknown | old     |

  Scenario: A deleted row does not get an old version again
    # Guards against a condition that holds for a row that was deleted in between.
    Given a memory platform with the row "k"
    When "k" is deleted and written again
    Then "k" has version 3
