Feature: Accepted changes are in force everywhere, refused ones nowhere

  Scenario Outline: Two operators make 100 changes during <faults>, seed <seed>
    # Guards against P9: a version that a node lacks 2 s after the links are healthy, an
    # older one that comes back, an accepted change that is lost, a refused one in force.
    When two operators make 100 changes with the faults "<faults>" and seed <seed>
    Then no breach was seen
    And changes were accepted and refused

    Examples:
      | faults                                     | seed |
      | none                                       | 1    |
      | outage                                     | 1    |
      | restart                                    | 1    |
      | partition                                  | 1    |
      | lost_replies                               | 1    |
      | all                                        | 1    |
      | outage restart partition lost_replies all  | 1    |
      | outage restart partition lost_replies all  | 2    |
      | outage restart partition lost_replies all  | 3    |

  Scenario Outline: With a service that <fault> the check "<check>" fails
    # Guards against checks of the scenarios above that cannot fail.
    When two operators make 20 changes with a service that "<fault>"
    Then a breach "<check>" was seen

    Examples:
      | fault                 | check                        |
      | does not receive      | lacks version                |
      | forgets its version   | do not rise                  |
      | hides conflicts       | is not in force              |
      | refuses after writing | refused .* is in force       |
