Feature: Stages start in the order of their graph

  # Guards against wrong order when stages are declared in another order than they run in,
  # and against short branches whose results wait for longer ones.
  Scenario Outline: Stage <stage> of the graph <graph>
    Given a request with the stage graph <graph>
    Then stage <stage> starts after "<awaited>" with <rest> stages downstream

    # Each stage is written as index:predecessors.
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
