Feature: An entry node serves callers before the users' platform

  # Guards against requests that run twice, refusals that are not true, answers that are
  # not the server's, and requests given up although another server could take them.
  Scenario Outline: A request to <path>, <trouble>
    Given 3 entry nodes before 2 servers of each service
    And the servers of "<service>": <trouble>
    When request "r1" to <path> is sent
    Then the caller gets status <status> within its deadline
    And servers of "<service>" ran it <ran> times

    Examples:
      | path      | service | trouble                       | status | ran |
      | /book/x   | plain   | all are well                  | 200    | 1   |
      | /book/x?y | plain   | all are well                  | 200    | 1   |
      | /book/x   | plain   | one is full                   | 200    | 1   |
      | /book/x   | plain   | all are full                  | 503    | 0   |
      | /book/x   | plain   | one is at another's address   | 200    | 1   |
      | /book/x   | plain   | all fail                      | 500    | 1   |
      | /read/x   | plain   | all are well                  | 200    | 1   |
      | /read/x   | plain   | all fail                      | 500    | 2   |
      | /read/x   | plain   | all are leaving               | 503    | 0   |
      | /ask/x    | engine  | all are well                  | 200    | 1   |
      | /ask/x    | engine  | one is full                   | 200    | 1   |
      | /ask/x    | engine  | all fail                      | 500    | 1   |
      | /digest/x | engine  | all are well                  | 200    | 1   |
      | /digest/x | engine  | one cut streams midway        | 200    | any |
      | /digest/x | engine  | all cut streams midway        | 599    | 2   |
      | /none/x   | plain   | all are well                  | 404    | 0   |

  # Guards against a revoked or unknown key that is served, and a key that is passed on.
  Scenario Outline: A request with key "<key>"
    Given 3 entry nodes before 2 servers of each service
    When request "r1" to /book/x is sent with key "<key>"
    Then the caller gets status <status> within its deadline
    And no server has seen a key

    Examples:
      | key     | status |
      | key-2   | 200    |
      | unknown | 401    |

  # Guards against stages that are given wrong inputs, and results that are never freed.
  Scenario: Stages run before a request and their results are freed
    Given 3 entry nodes before 2 servers of each service
    When request "r1" to /ask/x is sent with 3 and 5 pieces
    Then the caller gets status 200 within its deadline
    And 3 pieces of "first" and 5 of "second" were made once each
    And no results are held any more

  # Guards against a request that is refused although lost results can be made again.
  Scenario: Results are lost once on the way
    Given 3 entry nodes before 2 servers of each service
    And the servers of "second": all lose inputs once
    When request "r1" to /ask/x is sent with 3 and 1 pieces
    Then the caller gets status 200 within its deadline

  # Guards against a configuration, key or server change that is not in force in time.
  Scenario Outline: Within 2 s <change> is in force on all nodes
    Given 3 entry nodes before 2 servers of each service
    When <change>
    Then within 2 s each node answers a request to /book/x with <status>

    Examples:
      | change                                     | status |
      | the key of the requests is revoked         | 401    |
      | the route is removed                       | 404    |
      | the store loses its history and the route is removed | 404 |
      | all servers are taken out of service       | 503    |
      | the failure domains are evacuated          | 503    |

  # Guards against nodes that stop serving while the store is away, and against nodes
  # that cannot come back.
  Scenario Outline: The store is <mode>
    Given 3 entry nodes before 2 servers of each service
    When the store is <mode> for 2 s
    Then requests to /book/x are answered with 200 meanwhile and afterwards

    Examples:
      | mode   |
      | busy   |
      | silent |

  # Guards against requests that a planned stop cuts, and addresses of dead nodes.
  Scenario Outline: A node is stopped by <signal>
    Given 3 entry nodes before 2 servers of each service
    When node "node-0" is stopped by <signal> while 20 streams run
    Then <cut> of the streams were cut
    And within 5 s no other node hands out its address
    And it serves again after a restart

    Examples:
      | signal  | cut  |
      | SIGTERM | none |
      | SIGKILL | some |

  # Guards against settings that are read once only, and against a broken file that ends
  # a running node.
  Scenario Outline: The settings file changes: <change>
    Given 3 entry nodes before 2 servers of each service
    When the settings of "node-0" are rewritten: <change>
    Then its log tells "<event>" and it serves on

    Examples:
      | change          | event                 |
      | another bound   | settings_reloaded     |
      | not JSON at all | settings_not_reloaded |
