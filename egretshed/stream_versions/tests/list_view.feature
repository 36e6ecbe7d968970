Feature: A node confirms its list of servers before it concludes that a version never was

  # Guards against a call to the store for each request, against requests that wait for a
  # store that does not answer, and against versions missed where changes were lost.
  Scenario Outline: <requests> requests arrive <apart_s> s apart, the store <state>
    Given a node that follows the list of servers, and a store that <state>
    When <requests> requests that arrive <apart_s> s apart need the list
    Then all of them find it confirmed: <confirmed>
    And the store was asked for changes <changes>, tables <tables> and records <records> times
    And none waited longer than <wait_s> s

    Examples:
      | requests | apart_s | state                     | confirmed | changes | tables | records | wait_s |
      | 1        | 0       | answers                   | yes       | 1       | 0      | 0       | 0.3    |
      | 20       | 0       | answers                   | yes       | 1       | 0      | 0       | 0.3    |
      | 2        | 0.02    | answers                   | yes       | 2       | 0      | 0       | 0.4    |
      | 20       | 0       | refuses                   | no        | 1       | 0      | 0       | 0.3    |
      | 5        | 0.02    | refuses                   | no        | 1       | 0      | 0       | 0.3    |
      | 5        | 0       | is silent                 | no        | 1       | 0      | 0       | 0.9    |
      | 5        | 0       | has lost its history      | yes       | 1       | 1      | 1       | 0.3    |
      | 5        | 0       | removed an unknown server | yes       | 1       | 0      | 1       | 0.3    |

  # Guards against an answer that waited in a socket while the process stood still, and
  # against a peer's answer, which does not tell as of when the store was read.
  Scenario Outline: The last answer came from <source>, sent <sent_s> s before it arrived
    Given a node that follows the list of servers, and a store that answers
    When an answer of <source> to a call of <sent_s> s before is applied
    Then the list misses no server until <as_of>

    Examples:
      | source    | sent_s | as_of         |
      | the store | 0      | now           |
      | the store | 4      | 4 s before    |
      | a peer    | 0      | an older call |
