Feature: The command-line tool with running nodes

  Scenario: A failure domain is taken out of service and returned
    # Guards against a breach of P3, and against a plan that changes something before it is
    # confirmed.
    Given two running nodes with callers that submit requests at a constant rate
    When "domain out qc-east-1 --format json" is run as chief-dispatcher
    Then it exits with 0 and prints "proposed"
    And configuration version 1 is active
    And the servers of qc-east-1 still receive calls
    When "plan confirm PLAN DIGEST" is run as chief-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with 0 and prints "done"
    And configuration version 2 is active
    And no server of qc-east-1 received a call 2 s after version 2 became active
    When "domain in qc-east-1 --confirm --format json" is run as night-dispatcher
    And "plan watch PLAN" is run as night-dispatcher
    Then it exits with 0 and prints "done"
    And the servers of qc-east-1 still receive calls
    And every request completes

  Scenario Outline: The same declarations are applied twice: <command>
    # Guards against a second run that changes something or exits with an error.
    Given two running nodes
    When "<command> --confirm --format json" is run as chief-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with 0 and prints "done"
    And configuration version 2 is active
    When "<command> --confirm" is run as chief-dispatcher
    Then it exits with 0 and prints "Nothing to do"
    And configuration version 2 is active

    Examples:
      | command            |
      | config plan FILE   |
      | apply FOLDER       |

  Scenario Outline: An operator asks for <action> while a model is loaded
    # Guards against a control request that the executor misses or loses on resuming.
    Given two running nodes
    When "model load rota-llm 2027.01 rota-llm --confirm --format json" is run as chief-dispatcher
    And "plan <action> PLAN" is run as night-dispatcher
    Then the plan becomes <state> before all its steps have run
    When "plan <next> PLAN" is run as night-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with <status> and prints "<end>"

    Examples:
      | action | state   | next   | status | end     |
      | pause  | paused  | abort  | 8      | aborted |
      | abort  | aborted | show   | 8      | aborted |

    @known_red
    Examples: fails at times on a busy machine
      | action | state   | next   | status | end     |
      | pause  | paused  | resume | 0      | done    |

  @known_red
  Scenario: A node is drained
    # Guards against a breach of P8: a response interrupted by a graceful stop, or a leaving
    # node that is handed out to callers.
    Given two running nodes with callers that submit requests at a constant rate
    When "node drain entry-2 --confirm --format json" is run as chief-dispatcher
    And "plan watch PLAN" is run as chief-dispatcher
    Then it exits with 0 and prints "done"
    And only the address of entry-1 is handed out to callers
    And every request completes

  Scenario: Two operators take out two failure domains at the same time
    # Guards against two failure domains out of service after a race between two nodes.
    Given two running nodes
    When "domain out qc-east-1 --confirm" and "domain out qc-east-2 --confirm" are run concurrently
    Then one exits with 0 and the other with 7 and the conflicting plan

  Scenario: A plan is proposed while the platform is down
    # Guards against an exit status that does not show that no plan was proposed.
    Given two running nodes
    And the platform is down
    When "domain out qc-east-1" is run as chief-dispatcher
    Then it exits with 5 and prints "table_unavailable"
    And configuration version 1 is active

  Scenario: An interrupted stream is resumed at the other node
    # Guards against a breach of P4: tokens printed twice or omitted after a connection loss.
    Given two running nodes
    When "send route_question --request-id cut" loses its connection after some tokens
    Then it exits with 0 and prints each token of "cut" once
