Feature: A plan ends as confirmed whatever happens to its executor

  Scenario Outline: The executor fails at each step of <intent> with <arguments>
    # Guards against a step lost, repeated with effect, or ordered with an old fencing
    # number: the executor dies or pauses beyond its lease before the step's effect,
    # before its progress is written and after it. Server m-c ignores fencing numbers.
    # One line is printed for each step, moment and fault.
    When the executor fails at each step and moment of "<intent>" with <arguments>
    Then each plan ended as confirmed and nothing changed after that

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

  Scenario Outline: With the fault <fault>, <result>
    # Guards against checks of the rows above that cannot fail.
    When step <step_id> of a plan loads an adapter with the fault "<fault>"
    And its executor pauses before the order until another is done
    Then the check finds "<result>"

    Examples:
      | fault                       | step_id | result                                         |
      | none                        | 003     | nothing                                        |
      | orders name no revision     | 001     | nothing                                        |
      | orders name no revision     | 003     | m-c applied an old order                       |
      | no fencing and no revision  | 001     | m-a applied an old order                       |
      | orders without effect       | 001     | m-a is not in the state that was confirmed     |
