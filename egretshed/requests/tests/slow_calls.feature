Feature: Calls are abandoned only when that helps, and keep their slot until they end

  Scenario Outline: The slot of a cancelled call guards against <failure>
    Given a call that holds a slot for 5 s
    And its server answers cancellations with "<answers>"
    When the call is abandoned
    Then its slot is released after <seconds> s

    Examples:
      | failure                                         | answers               | seconds |
      | a call let in beside one at its last step (P2)  | running running ended | 0.3     |
      | a call that runs on after its deadline (P2)     | running running running running running running running running running running running running ended | 9.0 |
      | a slot kept after the call has ended            | ended                 | 0       |
      | a slot kept for a server that is not running    | refused               | 0       |
      | a call of a server that cannot be asked (P2)    | lost                  | 7       |

  Scenario Outline: The check of token latency guards against <failure>
    Given a pool with an average of 0.01 s per token
    And a call for <expected> tokens with a deadline in <left> s
    When its tokens arrive at intervals of "<gaps>" s
    And <idle> s pass without a token
    Then the call is <verdict>

    Examples:
      | failure                                       | expected | left | gaps                | idle | verdict  |
      | waiting in vain for a server 40 times slower  | 100      | 10   | 0.4 0.4 0.4 0.4     | 0    | too slow |
      | waiting in vain for a stream that stalls      | 100      | 4    | 0.01 0.01 0.01 0.01 | 1.5  | too slow |
      | giving up a slow server that ends in time     | 20       | 10   | 0.1 0.1 0.1 0.1     | 0    | kept     |
      | giving up at the pace of a full server        | 900      | 5    | 0.02 0.02 0.02 0.02 | 0    | kept     |
      | judging by the first token alone              | 100      | 4    | 0.01                | 1.5  | kept     |

  Scenario Outline: A call that is too slow and <could> complete elsewhere is <end>
    Guards against abandoning a call that no other server could complete in time either.
    Given a pool with an average of 0.01 s per token
    And a call for 100 tokens with a deadline in 10 s
    When its tokens arrive at intervals of "0.4 0.4 0.4 0.4" s
    And its result is awaited and it <could> complete elsewhere
    Then after 1 s the call is <end>

    Examples:
      | could     | end            |
      | could     | given up       |
      | could not | still awaited  |
