Feature: Stage servers get full calls of the most urgent pieces

  # Guards against late jobs that make others late, and against priority inversion.
  Scenario Outline: <case>
    Given stage servers that take 4 pieces a call, 150 ms a call, 32 ms a piece
    And waiting pieces <pieces>
    When the next call for a server with room <room> MB in domain "<domain>" is chosen
    Then it holds <chosen>

    # Pieces: job:priority:target in s:size in MB:preferred domain:waiting for s, and
    # in how many seconds it must have started
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
  # rate on three servers must not need more than 1.5 times the time of full calls.
  Scenario Outline: A burst of <rate> jobs/s for <seconds> s, batching <batching>
    Given stage servers that take 4 pieces a call, 150 ms a call, 32 ms a piece
    When <rate> jobs/s of 1 to 4 small pieces arrive for <seconds> s
    Then with batching <batching> the last one <result> within 1.5 times the full calls

    Examples:
      | rate | seconds | batching | result        |
      | 14   | 6       | on       | ends          |
      | 14   | 6       | off      | does not end  |

  # Guards against jobs that each hold a part of the makers' memory and wait for more.
  Scenario Outline: A burst of jobs with large results, started by memory <starts>
    Given stage servers that take 4 pieces a call, 150 ms a call, 32 ms a piece
    And 18 MB of memory for results
    When 40 jobs of 15 pieces of 3 MB arrive, each more urgent than the one before
    Then started by memory <starts>, <ended> of them end

    Examples:
      | starts | ended |
      | on     | 40    |
      | off    | fewer |

  # Guards against pieces on a server that turned slow while the others were free.
  Scenario Outline: <waiting> pieces wait, servers have slowness <slowness>
    Given stage servers that take 4 pieces a call, 150 ms a call, 32 ms a piece
    When servers with slowness <slowness> are free and <waiting> pieces wait
    Then calls go to <chosen>, in that order

    Examples:
      | slowness  | waiting | chosen  |
      | 1 1 1     | 4       | 0 1 2   |
      | 1.2 1 1.3 | 4       | 1 0 2   |
      | 5 1 1     | 4       | 1 2     |
      | 5 1 1     | 60      | 1 2 0   |
      | 2 1       | 12      | 1 0     |
      | 5         | 1       | 0       |

  # Guards against results of a short branch that wait, in scarce memory, for a longer
  # one; and against requests that wait between two stages instead of before the first.
  Scenario Outline: <share> times the usual requests before <servers> servers, <policy>
    Given three stages one after the other, <servers> servers each, as declared
    When <share> times the usual requests of three kinds arrive for 25 s
    Then with <policy>, <least> to <most> % of the <kind> ones end on time

    Examples:
      | share | servers | policy                       | kind     | least | most |
      | 1     | 3       | all decisions                | chain    | 95    | 100  |
      | 1     | 3       | all decisions                | branched | 95    | 100  |
      | 1     | 3       | short branches begun at once | branched | 0     | 50   |
      | 1     | 2       | all decisions                | long     | 95    | 100  |
      | 1.3   | 2       | all decisions                | long     | 90    | 100  |
      | 1.3   | 2       | no entrance                  | long     | 0     | 89   |
