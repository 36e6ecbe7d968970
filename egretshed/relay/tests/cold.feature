Feature: The limit of cold servers holds while requests are placed

  # Guards against requests that all see a free permit of a cold server, wait for the
  # choice of an engine, and are then all sent to it.
  Scenario Outline: <requests> requests are placed at the same time, <warm> servers are warm
    Given a cold server and <warm> warm servers
    When <requests> requests are placed on the cold server at the same time
    Then <cold> of them go to it, <others> to other servers, and the rest are refused

    Examples:
      | requests | warm | cold | others |
      | 1        | 1    | 1    | 0      |
      | 8        | 1    | 1    | 7      |
      | 8        | 0    | 1    | 0      |
