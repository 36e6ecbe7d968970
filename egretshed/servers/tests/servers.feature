Feature: Backend servers that may get work

  # Guards against a cold server that gets a request of each node in the same second:
  # the limit is a rate summed over all nodes, whatever their number.
  Scenario Outline: <nodes> nodes that all want to send to one cold server
    When <nodes> nodes want to send every <gap> ms for 10 s to a server with <rate> /s
    Then in no second it gets more than <most> requests, and in 10 s at least <least>

    # The most is rate x 1.5 + 5, as the deployments bound it.
    Examples:
      | nodes | gap | rate | most  | least |
      | 1     | 10  | 6.3  | 14.45 | 8     |
      | 7     | 10  | 6.3  | 14.45 | 30    |
      | 65    | 10  | 6.3  | 14.45 | 30    |
      | 65    | 10  | 0.0  | 5     | 8     |
      | 360   | 50  | 3.0  | 9.5   | 15    |

  # Guards against work for servers that leave, are gone, are taken out or unreachable,
  # and against knowledge of one incarnation that is used for the next.
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
      | domain taken out              | domain "a" is taken out                           | 0     |
      | unreachable                   | a connection to it fails                          | 0     |
      | reachable again               | a connection to it fails and 5 s pass             | 1     |
      | restarted after a failure     | a connection to it fails and it starts again at 9 | 1     |
      | another service at its address | it is listed for another service                 | 0     |
