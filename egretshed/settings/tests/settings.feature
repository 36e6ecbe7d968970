Feature: An invalid settings file is refused with the path of every fault

  # Guards against a node that starts with settings outside their range, or with time
  # limits that allow two owners of a replica or two executors of a plan at once.
  Scenario Outline: <fault>
    Given a valid settings file
    When "<path>" is set to <value>
    Then the fault "<reported>" is reported

    Examples:
      | fault                  | path                          | value   | reported                |
      | port out of range      | node.http_port                | 70000   | $.node.http_port        |
      | wrong type             | node.node_id                  | 5       | $.node.node_id          |
      | unknown field          | slots.loan_time_s             | 1       | $.slots.loan_time_s     |
      | unknown section        | lending                       | {}      | $.lending               |
      | zero duration          | slots.loan_duration_s         | 0       | $.slots.loan_duration_s |
      | renewal too rare       | slots.renew_period_s          | 1.9     | $.slots.renew_period_s  |
      | take-over too early    | slots.take_over_wait_s        | 5.4     | $.slots.take_over_wait_s |
      | loan outlives the wait | slots.loan_duration_s         | 2.1     | $.slots.take_over_wait_s |
      | suspicion outlives it  | membership.suspicion_s        | 1.6     | $.slots.take_over_wait_s |
      | probes outlive it      | membership.probe_period_s     | 0.6     | $.slots.take_over_wait_s |
      | lease under an order   | plans.order_timeout_s         | 3.5     | $.plans.order_timeout_s |
      | no peer key            | peers.keys                    | []      | $.peers.keys            |
      | section is not object  | peers                         | 3       | $.peers                 |

  Scenario: Several faults are reported together
    Given a valid settings file
    When "node.http_port" is set to "x"
    And "peers.bogus" is set to 1
    Then the fault "$.node.http_port" is reported
    And the fault "$.peers.bogus" is reported

  Scenario: A file that is not JSON is one fault
    Given a settings file with the text "{"
    Then the fault "$" is reported
