Feature: A call is given up only where that helps, and its slot only once it has ended

  Scenario Outline: The slot of a cancelled call guards against <failure>
    Given a call whose slot is for 5 s
    And its server answers cancelling with "<answers>"
    When the call is abandoned
    Then its slot is released after <seconds> s

    Examples:
      | failure                                         | answers               | seconds |
      | a call let in beside one at its last step (P2)  | running running ended | 0.3     |
      | a call that runs on after its deadline (P2)     | running running running running running running running running running running running running ended | 9.0 |
      | a slot kept after the call has ended            | ended                 | 0       |
      | a slot kept for a server that is not running    | refused               | 0       |
      | a call of a server that cannot be asked (P2)    | lost                  | 7       |

  Scenario Outline: The pace of a call guards against <failure>
    Given a pool with usually 0.01 s per token
    And a call for <expected> tokens that has <left> s
    When its tokens come at gaps of "<gaps>"
    And <idle> s pass without a token
    Then it is <verdict>

    Examples:
      | failure                                       | expected | left | gaps                | idle | verdict  |
      | waiting in vain for a server 40 times slower  | 100      | 10   | 0.4 0.4 0.4 0.4     | 0    | too slow |
      | waiting in vain for a stream that stalls      | 100      | 4    | 0.01 0.01 0.01 0.01 | 1.5  | too slow |
      | giving up a slow server that ends in time     | 20       | 10   | 0.1 0.1 0.1 0.1     | 0    | kept     |
      | giving up at the pace of a full server        | 900      | 5    | 0.02 0.02 0.02 0.02 | 0    | kept     |
      | judging by the first token alone              | 100      | 4    | 0.01                | 1.5  | kept     |

  Scenario Outline: A call that is too slow and <could> run elsewhere is <end>
    Guards against giving up a call that no other server could complete either.
    Given a pool with usually 0.01 s per token
    And a call for 100 tokens that has 10 s
    When its tokens come at gaps of "0.4 0.4 0.4 0.4"
    And it is awaited and <could> run elsewhere
    Then after 1 s it is <end>

    Examples:
      | could     | end            |
      | could     | given up       |
      | could not | still awaited  |
