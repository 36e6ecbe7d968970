Feature: Resource usage of processes is read and fitted correctly

  Scenario Outline: Reading CPU time guards against <failure>
    When the stat file of a process has "<stat>"
    Then its CPU time is <ticks> ticks

    Examples:
      | failure                              | stat                                              | ticks |
      | fields shifted by one                | 7 (python) S 1 7 7 0 -1 0 0 0 0 0 30 12 0 0 20 0 1 | 42   |
      | a command name with spaces or braces | 7 (a b) c) S 1 7 7 0 -1 0 0 0 0 0 30 12 0 0 20 0 1 | 42   |

  Scenario Outline: Reading metrics guards against <failure>
    When a metrics text has the line "<line>"
    Then it has the value <value> under "<name>"

    Examples:
      | failure                        | line                              | value | name  |
      | a plain sample left out        | a_total 3.0                       | 3     | a_total |
      | labels mixed up                | a_total{message='Probe'} 2.0      | 2     | a_total/Probe |
      | a second label taken as first  | a_total{k='x',c='y'} 1e+02        | 100   | a_total/x |
      | help text read as a sample     | # HELP a_total 3.0                | 0     | a_total |

  Scenario: A plane is fitted to points with known slopes
    # Guards against a slope that includes the effect of the other variable.
    Given points of z = 2 + 3 x - 0.5 y
    Then the fitted plane has base 2, slopes 3 and -0.5 and no spread
