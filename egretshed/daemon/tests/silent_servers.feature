Feature: A sound server falls silent, and goes on

  # Guards against a request that is taken from its server although no other may have it.
  Scenario Outline: <route> requests, silent for <silent_s> s <place>, others <others>
    Given 3 entry nodes with a retry slack of <slack> and <count> servers of each service
    And the servers of "<service>" fall silent for <silent_s> s <place>
    And the other servers of "<service>" <others>
    When 30 "<route>" requests are sent at once
    Then each is answered whole

    Examples:
      | route  | service | silent_s | place          | count | slack | others                |
      | digest | engine  | 1.8      | before event 4 | 3     | 0     | may have no retries   |
      | digest | engine  | 1.8      | before event 4 | 3     | 54    | have another version  |
      | digest | engine  | 1.8      | before event 4 | 1     | 54    | do not exist          |
      | digest | engine  | 1.8      | before event 4 | 3     | 54    | are full              |
      | digest | engine  | 1.8      | before event 4 | 3     | 54    | cannot be reached     |
      | digest | engine  | 3.0      | before event 4 | 3     | 0     | may have no retries   |
      | digest | engine  | 3.0      | before event 4 | 3     | 54    | have another version  |
      | digest | engine  | 3.0      | before event 4 | 1     | 54    | do not exist          |
      | digest | engine  | 3.0      | before event 4 | 3     | 54    | are full              |
      | digest | engine  | 3.0      | before event 4 | 3     | 54    | cannot be reached     |
      | digest | engine  | 3.0      | at first       | 3     | 0     | may have no retries   |
      | digest | engine  | 3.0      | at first       | 3     | 54    | are full              |
      | read   | plain   | 1.2      | at first       | 3     | 0     | may have no retries   |
      | read   | plain   | 1.2      | at first       | 1     | 54    | do not exist          |
      | read   | plain   | 1.2      | at first       | 3     | 54    | are full              |
      | read   | plain   | 1.2      | at first       | 3     | 54    | cannot be reached     |
      | book   | plain   | 1.8      | at first       | 3     | 54    | may have no retries   |
      | ask    | engine  | 1.8      | before event 4 | 3     | 54    | may have no retries   |
