Feature: The input that crashes servers is blamed, and no other one

  # Guards against parts that are blamed for crashes with another cause, and against a
  # part that is never blamed. A crash is written SECONDS:SERVER:PARTS, with all prompts
  # that waited for their first event there; "ok" is the first event of a prompt. "!" is a
  # whole request, "?" a whole prompt, and "@" the time at which the request was sent.
  Scenario Outline: <case>
    When the servers of a service report <events>
    Then the blamed inputs are "<blamed>"

    Examples:
      | case                                | events                                                            | blamed |
      | two crashes are too few             | 1:e1:a/x 2:e2:a/x                                                 | none   |
      | innermost part of three crashes     | 1:e1:a/x 2:e2:a/x 3:e3:a/x                                        | x      |
      | outer part with other inner ones    | 1:e1:a/x 2:e2:a/y 3:e3:a/z                                        | a      |
      | outer part that was answered        | 1:e1:a/x 2:e2:a/y 2.5:ok:a/v 3:e3:a/z                             | none   |
      | the part was answered meanwhile     | 1:e1:a/x 2:e2:a/x 2.5:ok:a/x 3:e3:a/x                             | none   |
      | victims change                      | 1:e1:a/x,b/v 2:e2:a/x,b/w 3:e3:a/x,c/v                            | x      |
      | reports about one crash             | 1:e1:a/x 1.2:e1:a/x 1.4:e1:a/x                                    | none   |
      | hosts are lost together             | 1:e1:a/x 1.02:e2:a/x 1.05:e3:a/x                                  | none   |
      | a server crashes again              | 1:e1:a/x 5:e1:a/x 9:e1:a/x                                        | x      |
      | crashes are too far apart           | 1:e1:a/x 400:e2:a/x 900:e3:a/x                                    | none   |
      | an outer part stays suspect         | 1:e1:a/x 2:e2:a/x 3:e3:a/x 4:e4:a/y 5:e5:a/z 6:e6:a/w             | x a    |
      | victims of a blamed part            | 1:e1:a/x 2:e2:a/x,b/v 3:e3:a/x,b/v 4:e4:a/x,b/v 5:e5:b/v          | x      |
      | a crash with another cause          | 1:e1:a/x 2:e2:a/x 3:e3:a/y                                        | none   |
      | it was one of the inner part after all | 1:e1:a/x 2:e2:a/x 3:e3:a/y 4:e4:a/x                            | x      |
      | outer part, inner ones twice each   | 1:e1:a/x 2:e2:a/x 3:e3:a/y 4:e4:a/y                               | a      |
      | two parts in turn                   | 1:e1:a/x 2:e2:b/y 3:e3:a/x 4:e4:b/y 5:e5:a/x 6:e6:b/y             | x y    |

    Examples:
      | case                                | events                                                            | blamed |
      | a request in three crashes          | 1:e1:!g 2:e2:!g 3:e3:!g                                           | !g     |
      | a request sent on after each crash  | 1:e1:!g@0.9 1.06:e2:!g@1.0 1.12:e3:!g@1.06                        | !g     |
      | copies of it on lost hosts          | 1:e1:!g@0.5 1.02:e2:!g@0.5 1.05:e3:!g@0.6                         | none   |
      | it has run to its end meanwhile     | 1:e1:!g 2:e2:!g 2.5:ok:!g 3:e3:!g                                 | none   |
      | other requests                      | 1:e1:!g 2:e2:!h 3:e3:!i                                           | none   |
      | requests that ran beside it         | 1:e1:!g,!v 2:e2:!w,!g 3:e3:!v,!g                                  | !g     |
      | one that always ran beside it       | 1:e1:!g,!v 2:e2:!g,!v 3:e3:!v,!g                                  | !v !g  |
      | the whole prompt, not its parts     | 1:e1:!r/a/x/?g 2:e2:!r/a/x/?g 3:e3:!r/a/x/?g                      | ?g     |
      | nor those of prompts beside it      | 1:e1:!r/x/?g 2:e2:!r/x/?g 3:e3:!s/x/?v,!r/x/?g                    | ?g     |
      | a part of prompts that differ       | 1:e1:!r/a/x/?g 2:e2:!r/a/x/?h 3:e3:!r/a/x/?i                      | x      |
      | no part, whatever the prompt        | 1:e1:!r/x/?g 2:e2:!r/x/?h 2.5:ok:x 3:e3:!r/x/?i                   | !r     |
      | not all requests for one target     | 1:e1:!r/x/?g,!r/y/?v 2:e2:!r/x/?h,!r/z/?w 3:e3:!r/x/?i,!r/y/?u    | x      |

  # Guards against memory that grows with the prompts of a service in trouble.
  Scenario: Prompts without a common part crash engines
    When 5000 crashes with other parts are reported
    Then at most 1000 parts are remembered

  # Guards against a caller whose new requests push out the evidence against a repeated
  # one, and against memory and time that grow with the crashes.
  Scenario: New requests crash servers, and one that is repeated among them
    When 900 crashes with 5 new requests each are reported, "!g" being in the 1st, 150th and 900th
    Then the blamed inputs are "!g"
    And at most 1000 parts and 400 crashes are remembered

  # Guards against memory that grows with each crash of an input that is never blamed.
  Scenario: An input is in every crash, and another one explains them
    When 500 crashes at "a/x" are reported that nobody judges
    Then at most 16 crashes of "a" are remembered
