Feature: The slot of the generation stage is reserved in time, but not too early

  Scenario Outline: The start time of a reservation guards against <failure>
    Given a pool whose calls wait <wait> s for a slot on average
    When the earlier stages are expected to take <before> s
    Then the reservation starts <start>

    Examples:
      | failure                               | wait | before | start       |
      | a slot held unused while many are free | 0   | 0.2    | not early   |
      | a slot held longer than needed        | 0.05 | 0.2    | after 0.15 s |
      | a generation that waits for its slot  | 0.5  | 0.2    | after 0 s   |

  Scenario Outline: An early reservation guards against <failure>
    Given an early reservation that starts after 0.1 s and takes 0.2 s
    When after <seconds> s the reservation is <step>
    Then the slot is <slot>

    Examples:
      | failure                                     | seconds | step     | slot           |
      | a stage that waits for a start in vain      | 0.05    | asked    | not taken      |
      | a second choice beside one that has begun   | 0.15    | asked    | used           |
      | a slot that is taken and never released     | 0.4     | given up | given back     |
      | a slot taken for a request that has ended   | 0.15    | given up | not taken      |
      | a slot given back while a call uses it      | 0.4     | asked    | used           |
