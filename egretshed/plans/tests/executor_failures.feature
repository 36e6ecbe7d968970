Feature: A plan ends as confirmed despite executor failures

  Scenario Outline: The executor fails at each step of <intent> with <arguments>
    # Guards against a step that is lost, takes effect twice, or is ordered with a stale
    # fencing number. The executor dies, or pauses beyond its lease, before the step's
    # effect, before its progress is written, or after that. Backend server m-c ignores
    # fencing numbers. Prints one line for each step, failure point and fault.
    When the executor fails at each failure point of "<intent>" with <arguments>
    Then each plan ends as confirmed and nothing changes afterwards

    Examples:
      | intent          | arguments                                        |
      | domain_out      | {"failure_domain": "a"}                          |
      | domain_in       | {"failure_domain": "b"}                          |
      | load_model      | {"model": "m", "version": "2", "pool": "main"}   |
      | load_adapter    | {"adapter": "x", "pool": "main"}                 |
      | change_role     | {"replica_id": "m-a", "pool": "spare"}           |
      | change_role     | {"replica_id": "m-c", "pool": "spare"}           |
      | drain_replica   | {"replica_id": "m-b"}                            |
      | undrain_replica | {"replica_id": "m-b"}                            |
      | drain_node      | {"node_id": "n1"}                                |
      | drain_node      | {"node_id": "n2"}                                |
      | configuration   | {"changes": {"models/m": {"version": "7"}}}      |

  Scenario Outline: The check finds <result> for the fault <fault> in step <step_id>
    # Guards against checks in the outline above that cannot fail.
    When step <step_id> of a plan orders an adapter load with the fault "<fault>"
    And its executor pauses before the order until another node is done
    Then the check finds "<result>"

    Examples:
      | fault                       | step_id | result                                         |
      | none                        | 003     | nothing                                        |
      | orders name no revision     | 001     | nothing                                        |
      | orders name no revision     | 003     | m-c applied an old order                       |
      | no fencing and no revision  | 001     | m-a applied an old order                       |
      | orders without effect       | 001     | m-a is not in the state that was confirmed     |
