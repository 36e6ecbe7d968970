Feature: Simulated backend servers fail in the ways that their adapters report

  Scenario Outline: A call to a server of role <role> with the fault <fault>
    # Guards against a server and an adapter that disagree on what a failure means, and
    # against calls that are missing from the server's record.
    Given a backend server of role "<role>"
    When the server has the fault <fault>
    And the server is called
    Then the call ends with the error "<error>"
    And the server's record shows the call as "<recorded>"

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

  Scenario: A server at its limit records a rejected call as rejected
    # Guards against rejected calls that are counted as work done.
    Given a backend server of role "service" that rejects calls above a limit of 1
    When the server is called while another call is in flight
    Then the call ends with the error "BackendRejected"
    And the server's record shows the call as "rejected"

  Scenario: A cold period ends after the warm-up calls
    # Guards against a cold period that never ends, or that does not record calls
    # started above the limit.
    Given a backend server of role "service"
    When the server has the fault {"cold": true}
    And the server is called
    And the server is called
    Then the server's record has 1 cold period, which has ended
