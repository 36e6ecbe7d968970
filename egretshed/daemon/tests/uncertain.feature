Feature: What is not known does not decide about running work

  # Guards against a request that runs twice, or is reported as not run, after its answer
  # was lost.
  Scenario Outline: A request to <path>, and all servers <trouble>
    Given 3 entry nodes and 2 servers of each service
    And of the servers of "<service>", all <trouble>
    When request "r1" to <path> is sent
    Then the caller receives status <status> within its deadline
    And the servers of "<service>" executed it <ran> times

    Examples:
      | path      | service | trouble                  | status | ran |
      | /book/x   | plain   | lose their answers       | 502    | 1   |
      | /read/x   | plain   | lose their answers       | 502    | 2   |
      | /ask/x    | engine  | lose their answers       | 502    | 1   |
      | /digest/x | engine  | lose their answers       | 502    | 2   |
      | /book/x   | plain   | answer 503 after the run | 502    | 1   |
      | /ask/x    | engine  | answer 503 after the run | 502    | 1   |

  # Guards against running work that is started again elsewhere, or given up, when its
  # server is only silent towards the list, or when a node or the store is silent.
  Scenario Outline: While a request runs, <event>
    Given 3 entry nodes and 2 servers of each service
    And the servers of "<service>" take <work> s for a request
    When request "r1" to <path> is sent, and while it runs <event>
    Then the caller receives status 200 within its deadline
    And the servers of "<service>" executed it 1 times

    Examples:
      | path    | service | work | event                                  |
      | /book/x | plain   | 2.5  | the entries of its servers are removed |
      | /book/x | plain   | 2.5  | its servers are listed as leaving      |
      | /book/x | plain   | 2.5  | its failure domains are evacuated      |
      | /book/x | plain   | 2.5  | the store is silent                    |
      | /book/x | plain   | 2.5  | its route is removed                   |
      | /book/x | plain   | 2.5  | its node is silent to the others       |
      | /read/x | plain   | 0.2  | the entries of its servers are removed |
      | /ask/x  | engine  | 2.5  | the entries of its servers are removed |
      | /ask/x  | engine  | 2.5  | the store is silent                    |

  # Guards against a server's own answer that is replaced by a failure of the node, since
  # the request was to be sent again and no retry was left.
  Scenario Outline: All servers answer 500, <count> of each service, retry slack <slack>
    Given 3 entry nodes with a retry slack of <slack> and <count> servers of each service
    And of the servers of "plain", all fail
    When 30 "read" requests are sent at once
    Then each is answered 500, with the signature of a server

    Examples:
      | count | slack |
      | 3     | 0     |
      | 1     | 54    |
      | 3     | 54    |
