Feature: A connection that its caller has closed leaves nothing in memory

  # Guards against a node whose memory and whose periodic check of open connections grow
  # with every connection that callers have ever opened.
  Scenario Outline: <count> callers send <request> and close their connections
    Given a server with the limits idle 60 s, head 10 s, 65536 head bytes, 1000000 body bytes
    When <count> callers send <request>, each on its own connection, and close it
    Then at most <kept_kb> kB more are in use than before

    Examples:
      | count | request                     | kept_kb |
      | 300   | a request                   | 300     |
      | 10    | chunks over the body limit  | 1000    |
