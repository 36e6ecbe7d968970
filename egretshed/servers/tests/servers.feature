Feature: Backend servers that may get work

  # Guards against a cold server that gets a request from each node in the same second:
  # the limit applies to the sum over all nodes, whatever their number.
  Scenario Outline: <nodes> nodes share the rate limit of a cold server
    When <nodes> nodes try to send every <gap> ms for 10 s at a limit of <rate> /s
    Then any second has at most <most> requests, and the 10 s have at least <least>

    # The upper bound is rate x 1.5 + 5, the bound of the deployments.
    Examples:
      | nodes | gap | rate | most  | least |
      | 1     | 10  | 6.3  | 14.45 | 8     |
      | 7     | 10  | 6.3  | 14.45 | 30    |
      | 65    | 10  | 6.3  | 14.45 | 30    |
      | 65    | 10  | 0.0  | 5     | 8     |
      | 360   | 50  | 3.0  | 9.5   | 15    |

  # Guards against work for servers that are leaving, gone, evacuated or unreachable, and
  # against state of one incarnation that is applied to the next.
  Scenario Outline: <case>
    Given a listed server "s1" in domain "a" at 10.0.0.1:80 started at 5
    When <event>
    Then <count> servers of its service may get work

    Examples:
      | case                          | event                                             | count |
      | listed                        | nothing happens                                   | 1     |
      | leaving                       | it is listed as leaving                           | 0     |
      | gone                          | its entry is removed                              | 0     |
      | lapsed while the store is away | its entry is removed while the store is doubtful | 1     |
      | lapsed for too long           | its entry is removed and does not come back       | 0     |
      | lapsed, store still away      | its entry is removed and the store stays away     | 1     |
      | lapsed, store back            | its entry is removed just after an outage, 0.8 s ago | 1  |
      | left just after an outage     | its entry is removed just after an outage, 1.4 s ago | 0  |
      | listed again after an outage  | its entry is removed just after an outage and listed again | 1 |
      | store lost again              | its entry is removed between two outages, the last 0.8 s ago | 1 |
      | domain taken out              | domain "a" is taken out                           | 0     |
      | unreachable                   | a connection to it fails                          | 0     |
      | reachable again               | a connection to it fails and 5 s pass             | 1     |
      | restarted after a failure     | a connection to it fails and it starts again at 9 | 1     |
      | another service at its address | it is listed for another service                 | 0     |
