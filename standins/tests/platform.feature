Feature: Both simulated platforms fail in the ways that the platform adapter reports

  Scenario Outline: A conditional write to the <platform> platform with the fault <fault>
    # Guards against a fault whose error misreports whether the row was written.
    Given a platform of type <platform> with the row "k"
    When the platform has the fault "<fault>"
    And the row "k" is written on condition of version <version>
    Then the write ends with the error "<error>"
    And the value of the row "k" is <written>

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

  Scenario: A row that is written again after its deletion gets a new version
    # Guards against a condition that still holds after the row was deleted and written
    # again, because the version numbers restarted.
    Given a platform of type memory with the row "k"
    When the row "k" is deleted and written again
    Then the row "k" has version 3
