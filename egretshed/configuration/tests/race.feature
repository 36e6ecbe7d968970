Feature: Accepted changes become active on every node, refused changes on none

  Scenario Outline: Two operators make 100 changes during <faults>, seed <seed>
    # Guards against violations of P9: a node that lacks a version 2 s after the last
    # fault, a version that decreases, an accepted change that is lost, and a refused
    # change that becomes active.
    When two operators make 100 changes with the faults "<faults>" and seed <seed>
    Then no violation was seen
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

  Scenario Outline: With a service that <fault>, the check reports "<check>"
    # Guards against checks in the scenarios above that never fail: each injected fault
    # must be reported.
    When two operators make 20 changes with a service that "<fault>"
    Then a violation "<check>" was seen

    Examples:
      | fault                 | check                        |
      | does not receive      | lacks version                |
      | forgets its version   | do not rise                  |
      | hides conflicts       | is not in force              |
      | refuses after writing | refused .* is in force       |
