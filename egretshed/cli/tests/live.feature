Feature: The command-line tool against running nodes

  Scenario: A failure domain goes out and comes back
    # Guards against P3, and against a plan that changes something before it is confirmed.
    Given two running nodes with steady callers
    When "domain out qc-east-1 --format json" is run as chief-dispatcher
    Then it exits with 0 and prints "proposed"
    And configuration version 1 is in force
    And servers of qc-east-1 go on getting calls
    When "plan confirm PLAN DIGEST" is run as chief-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with 0 and prints "done"
    And configuration version 2 is in force
    And no server of qc-east-1 got a call 2 s after version 2 was in force
    When "domain in qc-east-1 --confirm --format json" is run as night-dispatcher
    And "plan watch PLAN" is run as night-dispatcher
    Then it exits with 0 and prints "done"
    And servers of qc-east-1 go on getting calls
    And every caller gets its whole answer

  Scenario Outline: Declarations applied twice: <command>
    # Guards against a second run that changes something or fails in a script.
    Given two running nodes
    When "<command> --confirm --format json" is run as chief-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with 0 and prints "done"
    And configuration version 2 is in force
    When "<command> --confirm" is run as chief-dispatcher
    Then it exits with 0 and prints "Nothing to do"
    And configuration version 2 is in force

    Examples:
      | command            |
      | config plan FILE   |
      | apply FOLDER       |

  Scenario Outline: An operator asks for <action> while a model is loaded
    # Guards against a control that the executor misses, or that is lost on resuming.
    Given two running nodes
    When "model load rota-llm 2027.01 rota-llm --confirm --format json" is run as chief-dispatcher
    And "plan <action> PLAN" is run as night-dispatcher
    Then the plan comes to be <state> with some steps left
    When "plan <next> PLAN" is run as night-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with <status> and prints "<end>"

    Examples:
      | action | state   | next   | status | end     |
      | pause  | paused  | abort  | 8      | aborted |
      | abort  | aborted | show   | 8      | aborted |

    @known_red
    Examples: seen to fail beside other work
      | action | state   | next   | status | end     |
      | pause  | paused  | resume | 0      | done    |

  @known_red
  Scenario: A node is drained
    # Guards against P8: an answer cut by a planned stop, or callers sent to a leaving node.
    Given two running nodes with steady callers
    When "node drain entry-2 --confirm --format json" is run as chief-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with 0 and prints "done"
    And callers are told of entry-1 only
    And every caller gets its whole answer

  Scenario: Two operators take out two domains at the same moment
    # Guards against two failure domains out by a race of two nodes.
    Given two running nodes
    When "domain out qc-east-1 --confirm" and "domain out qc-east-2 --confirm" race
    Then one exits with 0 and the other with 7, naming the conflict

  Scenario: A plan is asked for while the platform is down
    # Guards against an exit code that hides that nothing was planned.
    Given two running nodes
    And the platform is down
    When "domain out qc-east-1" is run as chief-dispatcher
    Then it exits with 5 and prints "table_unavailable"
    And configuration version 1 is in force

  Scenario: A stream that breaks is resumed at the other node
    # Guards against P4: tokens printed twice or left out after a lost connection.
    Given two running nodes
    When "send route_question --request-id cut" loses its connection after some tokens
    Then it exits with 0 and prints each token of "cut" once
