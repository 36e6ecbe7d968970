Feature: HTTP API for operators

  Scenario Outline: <method> <path> with the key <key> returns <status>
    # Guards against access without the required right, and errors without a code.
    Given a server with the operator API
    When "<key>" sends <method> "<path>" with <body>
    Then the status is <status> and the body contains "<text>"

    Examples: reads
      | key    | method | path                        | body | status | text                   |
      | reader | GET    | status                      | none | 200    | "configuration_version":1 |
      | reader | GET    | nodes                       | none | 200    | "node_id":"n3"         |
      | reader | GET    | replicas                    | none | 200    | "replica_id":"m-a"     |
      | reader | GET    | requests/r1                 | none | 200    | "outcome":"complete"   |
      | reader | GET    | requests/r2                 | none | 404    | not_found              |
      | reader | GET    | configuration               | none | 200    | "pools/main"           |
      | reader | GET    | configuration/history       | none | 200    | "version":1            |
      | reader | GET    | configuration/diff?from=0&to=1 | none | 200 | "object":"models/m"    |
      | reader | GET    | configuration/diff?from=x   | none | 400    | invalid_request        |
      | reader | GET    | plans                       | none | 200    | []                     |
      | reader | GET    | plans/none                  | none | 404    | not_found              |
      | reader | GET    | plans/active                | none | 404    | not_found              |

    Examples: rights and bodies
      | key     | method | path                | body                                       | status | text                  |
      | nobody  | GET    | status              | none                                       | 401    | unauthorized          |
      | reader  | POST   | plans               | {"intent": "domain_out", "arguments": {}}  | 403    | forbidden             |
      | planner | POST   | plans/x/confirm     | {"digest": "0"}                            | 403    | forbidden             |
      | planner | POST   | plans/x/control     | {"action": "abort"}                        | 403    | forbidden             |
      | boss    | POST   | plans/x/confirm     | {"digest": "0"}                            | 404    | not_found             |
      | planner | POST   | plans               | {"intent": "domain_out", "arguments": {}}  | 400    | $.arguments.failure_domain |
      | planner | POST   | plans               | {"intent": "x", "arguments": {}}           | 404    | unknown intent        |
      | planner | POST   | plans               | {"intent": "x"}                            | 400    | arguments             |
      | planner | POST   | plans               | []                                         | 400    | must be an object     |
      | planner | POST   | plans               | {                                          | 400    | not JSON              |
      | planner | POST   | plans               | {"intent": "domain_out", "arguments": {"failure_domain": "a"}} | 201 | "state":"proposed" |
      | reader  | POST   | configuration/check | {"objects": {"models/m": {"version": 3}}}  | 400    | models/m.version      |
      | reader  | POST   | configuration/check | {"objects": {"models/m": {"version": "3"}}} | 200   | "valid":true          |

  Scenario: A plan is proposed while the table is down
    # Guards against reporting success for a plan that could not be stored.
    Given a server with the operator API
    And the platform is down
    When "planner" sends POST "plans" with {"intent": "domain_out", "arguments": {"failure_domain": "a"}}
    Then the status is 503 and the body contains "table_unavailable"

  Scenario: A replaced key is invalid immediately and no key is logged
    # Guards against keys that stay valid until a restart, and against keys in the log.
    Given a server with the operator API
    When the key of "reader" is replaced by "secret-new"
    And "reader" sends GET "status" with none
    Then the status is 401 and the body contains "unauthorized"
    When "secret-new" sends GET "status" with none
    Then the status is 200 and the body contains "node_id"
    And the log contains no key
