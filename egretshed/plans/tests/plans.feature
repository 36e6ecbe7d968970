Feature: Plans take effect only after an operator has confirmed them

  Scenario Outline: A confirmed plan is carried out: <intent>
    # Guards against a plan that is reported as done without its target state in force.
    Given a cluster of nodes
    When a plan "<intent>" with <arguments> is proposed at n1
    Then the configuration in force is unchanged
    When the plan is confirmed at n2
    And 60 s pass
    Then the plan is done
    And <check>

    Examples:
      | intent          | arguments                                     | check                              |
      | domain_out      | {"failure_domain": "a"}                       | failure domain "a" is out          |
      | load_model      | {"model": "m", "version": "2", "pool": "main"} | all servers have model version "2" |
      | load_adapter    | {"adapter": "x", "pool": "main"}              | model "m" has adapter "x"          |
      | change_role     | {"replica_id": "m-a", "pool": "spare"}        | "m-a" is in pool "spare"           |
      | drain_replica   | {"replica_id": "m-b"}                         | "m-b" is draining                  |
      | drain_node      | {"node_id": "n2"}                             | node "n2" has left                 |
      | configuration   | {"changes": {"models/m": {"version": "7"}}}   | the declared version of "m" is "7" |

  Scenario Outline: A confirmation is refused: <reason>
    # Guards against carrying out anything but the plan that the operator has reviewed.
    Given a cluster of nodes
    And a plan "domain_out" with {"failure_domain": "a"} is proposed at n1
    And <event>
    When the plan is confirmed at n2
    Then the confirmation is refused with reason "<reason>" and names "<named>"
    And the configuration in force is unchanged

    Examples:
      | event                                                     | reason                | named            |
      | a wrong digest is given                                   | digest_differs        | given            |
      | someone changes "failure_domains/a" to {"region": "q"}    | configuration_changed | failure_domains/a |
      | someone changes "models/m" to {"version": "3"}            | configuration_changed | planned_version  |
      | the servers run 9 calls each                              | low_capacity          | main             |
      | a plan "load_adapter" with {"adapter": "x", "pool": "main"} is active | conflicting_plan | pools/main |

  Scenario: Unrelated plans run concurrently
    # Guards against refusing a plan that shares no object with an active plan.
    Given a cluster of nodes
    And a plan "domain_out" with {"failure_domain": "a"} is proposed at n1
    And a plan "drain_node" with {"node_id": "n3"} is active
    When the plan is confirmed at n2
    And 60 s pass
    Then the plan is done

  Scenario: Two operators concurrently confirm plans that take out a failure domain
    # Guards against a race between two nodes that takes out two failure domains at once.
    Given a cluster of nodes
    When plans that take out "a" and "b" are confirmed concurrently at two nodes
    Then exactly one confirmation is refused and names the other plan

  Scenario: A second failure domain is refused while the first one is out
    # Guards against a check that only considers active plans: a failure domain stays out
    # after the plan that took it out has ended.
    Given a cluster of nodes
    And a plan "domain_out" with {"failure_domain": "a"} is active
    When 60 s pass
    And a plan "domain_out" with {"failure_domain": "b"} is proposed at n1
    And the plan is confirmed at n2
    Then the confirmation is refused with reason "conflicting_plan" and names "failure domain a"

  Scenario Outline: A plan is controlled between its steps: <action>
    # Guards against a plan that continues after an operator paused or aborted it.
    Given a cluster of nodes
    And a plan "load_model" with {"model": "m", "version": "2", "pool": "main"} is active
    And the servers run 1 calls each
    When 20 s pass
    And the operator requests "<action>"
    And the servers run 0 calls each
    And 60 s pass
    Then the plan is <state>

    Examples:
      | action | state   |
      | pause  | paused  |
      | abort  | aborted |

  Scenario Outline: A plan is stopped by a failure: <fault>
    # Guards against a plan that retries without limit or hides a failure.
    Given a cluster of nodes
    And a plan "load_model" with {"model": "m", "version": "2", "pool": "main"} is active
    And <fault>
    When 200 s pass
    Then the plan is stopped
    And the reason of the plan contains "<named>"

    Examples:
      | fault                                                         | named            |
      | server "m-a" is unreachable                                   | m-a              |
      | someone changes "models/m" to {"version": "9"} in 2 s         | someone else     |
      | the servers run 9 calls each                                  | running calls    |
      | servers "m-b" and "m-c" run 9 calls each                      | Check that       |

  Scenario Outline: The executor <event> and another node takes over
    # Guards against lost or repeated steps when another node acquires the lease.
    Given a cluster of nodes
    And a plan "load_model" with {"model": "m", "version": "2", "pool": "main"} is active
    When 1 s pass
    And the executor <event>
    And 120 s pass
    Then the plan is done
    And all servers have model version "2"
    And each server applied one order

    Examples:
      | event  |
      | dies   |
      | pauses |

  Scenario: The executor's configuration is stale
    # Guards against a step that compares objects with a configuration from before an
    # earlier step.
    Given a cluster of nodes
    And a plan "load_model" with {"model": "m", "version": "2", "pool": "main"} is active
    When 1 s pass
    And the executor's configuration is stale for 20 s
    And 60 s pass
    Then the plan is done
    And all servers have model version "2"
