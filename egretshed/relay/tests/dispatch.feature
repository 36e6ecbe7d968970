Feature: Nothing is sent to a server that may not get it any more

  # Guards against a request that reaches a server which has left, or has said that it
  # takes nothing, between the choice of the server and the end of the handshake.
  Scenario Outline: While the connection is opened, <event>
    Given the servers "first" and "second" in one failure domain each
    When a booking is placed on "first", and while its connection is opened <event>
    Then only "<server>" gets it

    Examples:
      | event                              | server |
      | nothing happens                    | first  |
      | the server says that it leaves     | second |
      | the server is listed as leaving    | second |
      | the server asks for a pause        | second |
      | the server's entry is removed      | second |
      | its failure domain is evacuated    | second |
      | it starts again at another address | second |
