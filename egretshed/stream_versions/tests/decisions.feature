Feature: A stream goes on only where its version is certain

  # Guards against a resume that joins two versions, and against a refusal although the
  # version is certain and served. Servers are ID@VERSION, with the second of their start
  # and "-" if they leave; the stream began on s1 at second 100, which then had v1 since 0.
  Scenario Outline: <case>
    Given a stream that is <known> on a route to "<services>"
    And the servers <servers> and, formerly, <former>
    When it is taken up while the only version is <only>
    Then it <outcome>

    Examples:
      | case                                | known   | services | servers              | former    | only | outcome                      |
      | known                               | known   | x        | s1@v1:0 s2@v2:0      | none      | none | goes on at v1                |
      | its server is gone                  | known   | x        | s2@v1:0 s3@v2:0      | none      | none | goes on at v1                |
      | its server restarted later          | known   | x        | s1@v2:102 s2@v1:0    | none      | none | goes on at v1                |
      | its server restarted before         | known   | x        | s1@v2:99 s2@v1:0     | none      | none | is refused: version_uncertain |
      | about when the request was sent     | known   | x        | s1@v2:100.3 s2@v1:0  | none      | none | is refused: version_uncertain |
      | restarted before, and again         | known   | x        | s1@v3:105 s2@v1:0    | s1@v2:99  | none | is refused: version_uncertain |
      | it had another version long before  | known   | x        | s1@v1:0              | s1@v0:-50 | none | goes on at v1                |
      | its version is not served           | known   | x        | s2@v2:0              | none      | v2   | is refused: version_not_served |
      | the last servers of it leave        | known   | x        | s1@v1:0- s2@v2:0     | none      | none | is refused: version_not_served |
      | the route has another service now   | known   | y        | s1@v1:0              | none      | none | is refused: service_changed  |
      | unknown, one version                | unknown | x        | s1@v1:0              | none      | v1   | goes on at v1                |
      | unknown, two versions               | unknown | x        | s1@v1:0 s2@v2:0      | none      | none | is refused: stream_unknown   |
      | unknown, two services               | unknown | x y      | s1@v1:0              | none      | v1   | is refused: stream_unknown   |

  # Guards against a server that restarted with another version while the store was away.
  Scenario Outline: The list may be outdated, servers <servers>
    Given a stream that is known on a route to "x"
    And the list may be outdated
    And the servers <servers> and, formerly, none
    When it is taken up while the only version is <only>
    Then it <outcome>

    Examples:
      | servers         | only | outcome                   |
      | s1@v1:0 s2@v1:0 | v1   | goes on at v1             |
      | s1@v1:0 s2@v2:0 | none | is refused: list_outdated |

  # Guards against a stream of a version that joined after the list was confirmed, and
  # against a known one that is refused because the list is old.
  Scenario Outline: The list is confirmed until <age_s> s before the request, <known>
    Given a stream that is <known> on a route to "x"
    And the list misses no server until <age_s> s before the request arrived
    And the servers s1@v1:0 s2@v1:0 and, formerly, none
    When it is taken up while the only version is <only>
    Then it <outcome>

    Examples:
      | known   | age_s | only | outcome                        |
      | unknown | 0     | v1   | goes on at v1                  |
      | unknown | -0.1  | v1   | goes on at v1                  |
      | unknown | 0.01  | v1   | is refused: list_not_confirmed |
      | unknown | 2.5   | v1   | is refused: list_not_confirmed |
      | unknown | 2.5   | none | is refused: stream_unknown     |
      | known   | 2.5   | v1   | goes on at v1                  |
      | known   | 2.5   | none | goes on at v1                  |

  # Guards against streams that begin at a version which a single lost server takes away.
  Scenario Outline: Streams that may be resumed, servers <servers>
    Given the servers <servers> and, formerly, none
    Then they begin at other versions than "<lone>" if they can

    Examples:
      | servers                    | lone |
      | s1@v1:0 s2@v1:0            | none |
      | s1@v1:0 s2@v1:0 s3@v2:0    | v2   |
      | s1@v1:0- s2@v1:0 s3@v2:0   | none |
      | s1@v1:0- s2@v1:0 s3@v2:0 s4@v2:0 | v1 |
      | s1@v1:0                    | none |

  # Guards against memory that grows with streams, and against a changed record.
  Scenario: Many streams are remembered
    When 30000 streams are remembered, the first of them twice
    Then at most 10000 are kept, for at most 60 s, with what was first known of them

  # Guards against joined versions while the store is silent and hides a restart.
  Scenario Outline: The first server was <case>
    Given a stream began at 100 s at a server listed since <listed>, <case>
    When its server reports a start at <reported>
    Then its version is <outcome>

    Examples:
      | case                              | listed | reported | outcome   |
      | not restarted                     | 50     | 50       | certain   |
      | restarted before                  | 50     | 99       | uncertain |
      | restarted at about the same time  | 50     | 100.4    | uncertain |
      | restarted later                   | 50     | 101      | certain   |
      | not reached                       | 50     | 0        | certain   |
      | listed without its start          | 0      | 99       | certain   |
