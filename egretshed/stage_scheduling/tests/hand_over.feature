Feature: Jobs that another owner may have taken over are not started twice

  # Load pattern: the owner is paused while jobs wait, and their submitters turn to the
  # next owner after 0.2 s, or lose power. Guards against pieces that two owners send to
  # servers, against pieces that nobody waits for, and against work of a submitter that
  # was only silent for a while.
  Scenario Outline: <submitter>, and the owner is paused for <pause> s
    Given an owner with one server that runs a piece in 0.4 s
    And 6 jobs of one piece, submitted by <submitter>
    When the owner is paused for <pause> s after 0.1 s
    And <later> for 5 s
    Then <pieces> pieces were sent to the server

    Examples:
      | submitter    | pause | later                                  | pieces |
      | another node | 0     | the submitter confirms its jobs        | 6      |
      | another node | 0.1   | the submitter confirms its jobs        | 6      |
      | another node | 0.3   | the submitter confirms its jobs        | 6      |
      | another node | 3     | the submitter confirms its jobs        | 6      |
      | another node | 0.3   | the submitter cancels after 0.05 s     | 1      |
      | another node | 3     | the submitter cancels after 0.05 s     | 1      |
      | another node | 3     | the submitter is gone                  | 1      |
      | another node | 0     | the submitter is gone                  | 5      |
      | another node | 0     | the submitter is silent for 2 s        | 6      |
      | the owner    | 0     | the submitter is gone                  | 6      |
      | the owner    | 3     | the submitter is gone                  | 6      |
