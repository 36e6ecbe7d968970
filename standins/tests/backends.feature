Feature: The stand-in backend servers behave as their adapters describe

  Scenario Outline: A call of <role> with the fault <fault>
    # Guards against stand-ins and adapters that read a failure differently, and
    # against a record that hides a call.
    Given a backend server of role "<role>"
    When its fault is <fault>
    And it is called
    Then the call ends with "<error>"
    And the record has the call as "<recorded>"

    Examples:
      | role    | fault             | error              | recorded  |
      | engine  | {}                | nothing            | completed |
      | engine  | {"fail_share": 1} | BackendUnreachable | failed    |
      | engine  | {"down": true}    | BackendUnreachable | absent    |
      | engine  | {"silent": true}  | BackendSilent      | running   |
      | service | {}                | nothing            | completed |
      | service | {"fail_share": 1} | BackendError       | failed    |
      | service | {"down": true}    | BackendUnreachable | absent    |
      | service | {"silent": true}  | BackendSilent      | running   |

  Scenario: A full server that refuses records the refusal
    # Guards against a refusal that looks like work done.
    Given a backend server of role "service" that refuses above 1 call
    When it is called while a call is in flight
    Then the call ends with "BackendRejected"
    And the record has the call as "rejected"

  Scenario: A cold server ends its cold period after enough calls
    # Guards against a cold period that never ends or misses an excess start.
    Given a backend server of role "service"
    When its fault is {"cold": true}
    And it is called
    And it is called
    Then the record has 1 cold period that has ended
