Feature: Stages begin in the order of their graph

  # Guards against a graph whose stages are declared in another order than they run in,
  # and against branches whose results wait for longer ones.
  Scenario Outline: The stages are <graph>
    Given a request with the stages <graph>
    Then stage <stage> begins after "<awaited>", and <rest> stages follow it

    # Stage:the stages that it follows
    Examples:
      | graph           | stage | awaited | rest |
      | 0: 1:0 2:1      | 0     | none    | 2    |
      | 0: 1:0 2:1      | 2     | 1       | 0    |
      | 0:1 1:2 2:      | 0     | 1       | 0    |
      | 0:1 1:2 2:      | 2     | none    | 2    |
      | 0: 1: 2:1 3:2   | 0     | 1 2     | 0    |
      | 0: 1: 2:1 3:2   | 1     | none    | 2    |
      | 0: 1: 2:0,1     | 0     | none    | 1    |
      | 0: 1:0 2:0 3:1,2 | 2    | 0       | 1    |
      | 0:2 1: 2:3 3:   | 1     | 2 3     | 0    |
