Feature: Operators confirm a plan before anything changes

  Scenario Outline: A confirmed plan is carried out: <intent>
    # Guards against a plan that says done without its target state being in force.
    Given a cluster of nodes
    When a plan "<intent>" with <arguments> is proposed at n1
    Then nothing in force has changed
    When it is confirmed at n2
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
    # Guards against carrying out something else than the operator has seen.
    Given a cluster of nodes
    And a plan "domain_out" with {"failure_domain": "a"} is proposed at n1
    And <event>
    When it is confirmed at n2
    Then it is refused with reason "<reason>" that names "<named>"
    And nothing in force has changed

    Examples:
      | event                                                     | reason                | named            |
      | a wrong digest is given                                   | digest_differs        | given            |
      | someone changes "failure_domains/a" to {"region": "q"}    | configuration_changed | failure_domains/a |
      | someone changes "models/m" to {"version": "3"}            | configuration_changed | planned_version  |
      | the servers run 9 calls each                              | low_capacity          | main             |
      | a plan "load_adapter" with {"adapter": "x", "pool": "main"} is active | conflicting_plan | pools/main |

  Scenario: Unrelated plans run side by side
    # Guards against refusing plans that share no object.
    Given a cluster of nodes
    And a plan "domain_out" with {"failure_domain": "a"} is proposed at n1
    And a plan "drain_node" with {"node_id": "n3"} is active
    When it is confirmed at n2
    And 60 s pass
    Then the plan is done

  Scenario: Two operators confirm two domains out at the same moment
    # Guards against two failure domains out at once by a race of two nodes.
    Given a cluster of nodes
    When domains "a" and "b" are confirmed out at two nodes at the same moment
    Then exactly one confirmation is refused and names the other plan

  Scenario: A second domain is refused after the first plan has ended
    # Guards against a reservation that ends with its plan.
    Given a cluster of nodes
    And a plan "domain_out" with {"failure_domain": "a"} is active
    When 60 s pass
    And a plan "domain_out" with {"failure_domain": "b"} is proposed at n1
    And it is confirmed at n2
    Then it is refused with reason "conflicting_plan" that names "failure domain a"

  Scenario Outline: Control at step borders: <action>
    # Guards against a plan that goes on after an operator stopped it.
    Given a cluster of nodes
    And a plan "load_model" with {"model": "m", "version": "2", "pool": "main"} is active
    And the servers run 1 calls each
    When 20 s pass
    And the operator asks for "<action>"
    And the servers run 0 calls each
    And 60 s pass
    Then the plan is <state>

    Examples:
      | action | state   |
      | pause  | paused  |
      | abort  | aborted |

  Scenario Outline: A plan ends as stopped: <fault>
    # Guards against a plan that retries for ever or hides a failure.
    Given a cluster of nodes
    And a plan "load_model" with {"model": "m", "version": "2", "pool": "main"} is active
    And <fault>
    When 200 s pass
    Then the plan is stopped
    And its reason names "<named>"

    Examples:
      | fault                                                         | named            |
      | server "m-a" is unreachable                                   | m-a              |
      | someone changes "models/m" to {"version": "9"} in 2 s         | someone else     |
      | the servers run 9 calls each                                  | running calls    |
      | servers "m-b" and "m-c" run 9 calls each                      | Check that       |

  Scenario Outline: The executor <event> and another node finishes
    # Guards against lost or repeated steps when the lease changes hands.
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

  Scenario: The executor's view of the configuration is late
    # Guards against steps judged by the configuration from before an earlier step.
    Given a cluster of nodes
    And a plan "load_model" with {"model": "m", "version": "2", "pool": "main"} is active
    When 1 s pass
    And the executor's view is late for 20 s
    And 60 s pass
    Then the plan is done
    And all servers have model version "2"
