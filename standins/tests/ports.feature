Feature: Tests and benches that run at the same time never share a port

  # Guards against a node that cannot listen because a fleet of another test was given the
  # same port, which was still free when both looked.
  Scenario Outline: <processes> processes take <count> ports of <available>
    Given a range of <available> ports
    When <processes> processes take <count> ports each before any of them listens
    Then no port was given to two of them

    Examples:
      | available | processes | count |
      | 2000      | 2         | 90    |
      | 2000      | 8         | 150   |
      | 400       | 4         | 99    |

  Scenario: All ports are taken
    Given a range of 200 ports
    When 1 processes take 198 ports each before any of them listens
    Then one more port is refused
