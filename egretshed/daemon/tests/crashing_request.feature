Feature: A request that crashes servers is quarantined in all nodes

  # Guards against a request that crashes one server after the other, since its caller
  # sends it again, under another id and to any node, and each time the next healthy
  # server gets it. Later than 3 s after the third crash, at most three more may reach a
  # server. Other requests must still be served, also those of another caller that are
  # the same in all else.
  Scenario Outline: A <route> request crashes servers after <events> events, <event>
    Given 3 entry nodes and 6 servers of each service
    And servers crash at a "<route>" request of one caller, after <events> events
    When it is sent to all nodes beside others for 14 s, and <event> after <at_s> s
    Then at most 3 of it reach servers later than 3 s after the third crash
    And once it reaches none it is answered 503 within 0.25 s, with a time to return
    And of the others sent later than 5 s after the third crash, at least <share> are answered

    Examples:
      | route  | events | event                     | at_s | share |
      | read   | 0      | nothing happens           | 4    | 0.95  |
      | book   | 0      | nothing happens           | 4    | 0.95  |
      | ask    | 0      | nothing happens           | 4    | 0.95  |
      | digest | 0      | nothing happens           | 4    | 0.95  |
      | digest | 2      | nothing happens           | 4    | 0.95  |
      | read   | 0      | all nodes are restarted   | 4    | 0.5   |
      | read   | 0      | the nodes restart in turn | 0.3  | 0.5   |
      | read   | 0      | a node is lost            | 0.3  | 0.5   |
      | ask    | 0      | a node freezes            | 0.3  | 0.5   |

  # Guards against a request whose pieces crash one stage server after the other. Others
  # share calls with it, and stages run again what a crash has ended.
  Scenario Outline: A piece of an "ask" request crashes servers of "<service>", <event>
    Given 3 entry nodes and 6 servers of each service
    And servers of "<service>" crash at a piece of one "ask" request
    When it is sent to all nodes beside others for 14 s, and <event> after <at_s> s
    Then at most 3 of it reach servers later than 3 s after the third crash
    And once it reaches none it is answered 503 within 0.25 s, with a time to return
    And of the others sent later than 5 s after the third crash, at least 0.95 are answered

    Examples:
      | service | event           | at_s |
      | first   | nothing happens | 4    |
