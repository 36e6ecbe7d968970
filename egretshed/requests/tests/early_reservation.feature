Feature: The slot of a generation is taken in time, and held no longer than needed

  Scenario Outline: The start of the wait guards against <failure>
    Given calls of a pool that usually wait <wait> s for a slot
    When a slot is needed after <before> s of earlier stages
    Then the wait for it starts <start>

    Examples:
      | failure                               | wait | before | start       |
      | a slot held unused while many are free | 0   | 0.2    | not early   |
      | a slot held longer than needed        | 0.05 | 0.2    | after 0.15 s |
      | a generation that waits for its slot  | 0.5  | 0.2    | after 0 s   |

  Scenario Outline: An early choice guards against <failure>
    Given an early choice that starts after 0.1 s and takes 0.2 s
    When after <seconds> s it is <step>
    Then the slot is <slot>

    Examples:
      | failure                                     | seconds | step     | slot           |
      | a stage that waits for a start in vain      | 0.05    | asked    | not taken      |
      | a second choice beside one that has begun   | 0.15    | asked    | used           |
      | a slot that is taken and never released     | 0.4     | given up | given back     |
      | a slot taken for a request that has ended   | 0.15    | given up | not taken      |
      | a slot given back while a call uses it      | 0.4     | asked    | used           |
