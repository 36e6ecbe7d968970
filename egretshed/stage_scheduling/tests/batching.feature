Feature: Batching of pieces into calls to stage servers

  # Guards against late jobs that delay others, and against priority inversion.
  Scenario Outline: <case>
    Given stage servers that take up to 4 pieces per call, 150 ms per call and 32 ms per piece
    And waiting pieces <pieces>
    When the next call for a server with <room> MB available in domain "<domain>" is chosen
    Then the call holds <chosen>

    # Pieces are job:priority:target:size:domain:waited[:start], with the seconds until the
    # target, the size in MB, the preferred failure domain, the seconds waited so far, and
    # the seconds until the job must start.
    Examples:
      | case                                 | pieces                                 | room | domain | chosen  |
      | the earliest target first            | a:0:2:1::0 b:0:1:1::0                  | 18   | x      | b a     |
      | the more urgent priority first       | a:1:1:1::0 b:0:2:1::0                  | 18   | x      | b a     |
      | on time before late                  | a:0:0.1:1::0 b:0:2:1::0                | 18   | x      | b a     |
      | late, and about to be lost           | a:1:0.1:1::4:0 b:0:2:1::0              | 18   | x      | a b     |
      | at most a full call                  | a:0:1:1::0 b:0:2:1::0 c:0:3:1::0 d:0:4:1::0 e:0:5:1::0 | 18 | x | a b c d |
      | as many as memory allows             | a:0:1:3::0 b:0:2:3::0 c:0:3:3::0       | 6    | x      | a b     |
      | a small job passes a large one       | a:0:1:9::0 b:0:2:0.1::0                | 6    | x      | b       |
      | no large job passes a large one      | a:0:1:9::0 b:0:2:3::0                  | 6    | x      | nothing |
      | a large result waits for its domain  | a:0:2:3:y:0                            | 18   | x      | nothing |
      | it does not wait for long            | a:0:2:3:y:0.5                          | 18   | x      | a       |
      | it does not wait without slack       | a:0:0.4:3:y:0                          | 18   | x      | a       |
      | it does not wait for a lost domain   | a:0:2:3:z:0                            | 18   | x      | a       |
      | its own domain first                 | a:0:2:3:y:0.5 b:0:3:3:x:0              | 6    | x      | b a     |
      | one without slack first              | a:0:0.4:3:y:0 b:0:3:3:x:0              | 6    | x      | a b     |
      | a small result goes anywhere         | a:0:2:0.1:y:0                          | 18   | x      | a       |

  # Guards against calls with one piece while many wait: a burst of 2.2 times the usual
  # rate on three servers must end within 1.5 times the time that full calls take.
  Scenario Outline: A burst of <rate> jobs/s for <seconds> s with batching <batching>
    Given stage servers that take up to 4 pieces per call, 150 ms per call and 32 ms per piece
    When <rate> jobs/s of 1 to 4 small pieces arrive for <seconds> s
    Then with batching <batching> the last job <result> within 1.5 times the time of full calls

    Examples:
      | rate | seconds | batching | result        |
      | 14   | 6       | on       | ends          |
      | 14   | 6       | off      | does not end  |

  # Guards against a deadlock of jobs that each hold a part of the result memory while
  # they wait for more.
  Scenario Outline: A burst of jobs with large results with the memory check <starts>
    Given stage servers that take up to 4 pieces per call, 150 ms per call and 32 ms per piece
    And 18 MB of memory for results
    When 40 jobs of 15 pieces of 3 MB arrive, each more urgent than the one before
    Then with the memory check <starts>, <ended> of the jobs end

    Examples:
      | starts | ended |
      | on     | 40    |
      | off    | fewer |

  # Guards against pieces that are sent to a slow server while faster ones are free.
  Scenario Outline: <waiting> pieces wait and the servers have slowness <slowness>
    Given stage servers that take up to 4 pieces per call, 150 ms per call and 32 ms per piece
    When servers with slowness <slowness> are free and <waiting> pieces wait
    Then calls go to servers <chosen>, in that order

    Examples:
      | slowness  | waiting | chosen  |
      | 1 1 1     | 4       | 0 1 2   |
      | 1.2 1 1.3 | 4       | 1 0 2   |
      | 5 1 1     | 4       | 1 2     |
      | 5 1 1     | 60      | 1 2 0   |
      | 2 1       | 12      | 1 0     |
      | 5         | 1       | 0       |

  # Guards against results of a short branch that hold scarce memory until a longer one is
  # done, and against requests that wait between two stages instead of before the first.
  Scenario Outline: <share> times the usual load on <servers> servers per stage with <policy>
    Given a chain of three stage services with <servers> servers each
    When requests of three kinds arrive at <share> times the usual rate for 25 s
    Then with <policy>, <least> to <most> % of the <kind> requests end on time

    Examples:
      | share | servers | policy                       | kind     | least | most |
      | 1     | 3       | all decisions                | chain    | 95    | 100  |
      | 1     | 3       | all decisions                | branched | 95    | 100  |
      | 1     | 3       | short branches begun at once | branched | 0     | 50   |
      | 1     | 2       | all decisions                | long     | 95    | 100  |
      | 1.3   | 2       | all decisions                | long     | 90    | 100  |
      | 1.3   | 2       | no entrance                  | long     | 0     | 89   |
