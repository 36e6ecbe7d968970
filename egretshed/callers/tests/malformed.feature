Feature: Malformed submissions are refused with a typed error and are not run

  Background:
    Given a running node with the example deployment "laurentien"

  Scenario Outline: <fault>
    When a caller sends the body <raw>
    Then it gets status <status> and the error "<error>"
    And no backend server received a call
    And the node serves a valid request

    # Guards against a 5xx status, or a call to a backend server, on malformed input.
    Examples:
      | fault                    | raw                                                            | status | error           |
      | broken JSON              | {"request_id": "r1"                                            | 400    | invalid_request |
      | empty body               | @empty                                                         | 400    | invalid_request |
      | JSON null                | null                                                           | 400    | invalid_request |
      | JSON array               | []                                                             | 400    | invalid_request |
      | JSON number              | 17                                                             | 400    | invalid_request |
      | JSON string              | "r1"                                                           | 400    | invalid_request |
      | trailing bytes           | @valid}                                                        | 400    | invalid_request |
      | two objects              | @valid@valid                                                   | 400    | invalid_request |
      | single quotes            | {'request_id': 'r1'}                                           | 400    | invalid_request |
      | not a number             | @deadline_s=NaN                                                | 400    | invalid_request |
      | infinite deadline        | @deadline_s=Infinity                                           | 400    | invalid_request |
      | huge exponent            | @deadline_s=1e999                                              | 400    | invalid_request |
      | broken UTF-8             | @bytes:ff                                                      | 400    | invalid_request |
      | truncated UTF-8          | @bytes:c3                                                      | 400    | invalid_request |
      | lone surrogate           | @request_id="\\ud800"                                          | 400    | invalid_request |
      | null bytes               | @bytes:00                                                      | 400    | invalid_request |
      | deep nesting             | @nested                                                        | 400    | invalid_request |
      | missing request_id       | @-request_id                                                   | 400    | invalid_request |
      | missing kind             | @-kind                                                         | 400    | invalid_request |
      | missing body             | @-body                                                         | 400    | invalid_request |
      | empty object             | {}                                                             | 400    | invalid_request |
      | unknown field            | @retries=3                                                     | 400    | invalid_request |
      | field in wrong case      | @Request_Id="r1"                                               | 400    | invalid_request |
      | request_id is a number   | @request_id=5                                                  | 400    | invalid_request |
      | request_id is null       | @request_id=null                                               | 400    | invalid_request |
      | request_id is empty      | @request_id=""                                                 | 400    | invalid_request |
      | request_id with slash    | @request_id="a/b"                                              | 400    | invalid_request |
      | request_id with blank    | @request_id="a b"                                              | 400    | invalid_request |
      | request_id with newline  | @request_id="a\\n"                                             | 400    | invalid_request |
      | request_id too long      | @long_id                                                       | 400    | invalid_request |
      | request_id is a path     | @request_id="../r1"                                            | 400    | invalid_request |
      | request_id not ASCII     | @request_id="é"                                                | 400    | invalid_request |
      | kind is a list           | @kind=["a"]                                                    | 400    | invalid_request |
      | kind is empty            | @kind=""                                                       | 404    | not_found       |
      | kind is unknown          | @kind="bake_bread"                                             | 404    | not_found       |
      | kind names a pipeline    | @kind="rota"                                                   | 404    | not_found       |
      | body is a string         | @body="x"                                                      | 400    | invalid_request |
      | body is a list           | @body=[]                                                       | 400    | invalid_request |
      | body is null             | @body=null                                                     | 400    | invalid_request |
      | prompt is a number       | @body={"prompt": 5}                                            | 400    | invalid_request |
      | prompt is an object      | @body={"prompt": {}}                                           | 400    | invalid_request |
      | session is a list        | @body={"session": []}                                          | 400    | invalid_request |
      | max_tokens is a string   | @body={"max_tokens": "9"}                                      | 400    | invalid_request |
      | max_tokens is boolean    | @body={"max_tokens": true}                                     | 400    | invalid_request |
      | max_tokens is zero       | @body={"max_tokens": 0}                                        | 400    | invalid_request |
      | max_tokens is negative   | @body={"max_tokens": -5}                                       | 400    | invalid_request |
      | max_tokens is a fraction | @body={"max_tokens": 1.5}                                      | 400    | invalid_request |
      | deadline is negative     | @deadline_s=-1                                                 | 400    | deadline_passed |
      | deadline is zero         | @deadline_s=0                                                  | 400    | deadline_passed |
      | deadline is a string     | @deadline_s="2"                                                | 400    | invalid_request |
      | deadline is a list       | @deadline_s=[1]                                                | 400    | invalid_request |
      | priority is a string     | @priority="high"                                               | 400    | invalid_request |
      | priority is a fraction   | @priority=1.5                                                  | 400    | invalid_request |
      | stream is a number       | @stream=1                                                      | 400    | invalid_request |
      | stream is a string       | @stream="yes"                                                  | 400    | invalid_request |
      | resume is a string       | @resume="x"                                                    | 400    | invalid_request |
      | resume without sequence  | @resume={"stream_id": "x"}                                     | 400    | invalid_request |
      | resume before the start  | @resume={"stream_id": "x", "after_sequence": -1}               | 400    | invalid_request |
      | resume beyond 2^53       | @resume={"stream_id": "x", "after_sequence": 9007199254740993} | 400    | invalid_request |
      | body above the limit     | @huge                                                          | 413    | body_too_large  |

  Scenario Outline: A submission with <key_fault> is refused
    When a caller submits a valid body with the header <header>
    Then it gets status 401 and the error "unauthorized"
    And no backend server received a call

    # Guards against requests that run without authentication or as another customer.
    Examples:
      | key_fault                 | header                     |
      | no key                    | @none                      |
      | empty key                 | Bearer                     |
      | wrong key                 | Bearer nobody              |
      | other scheme              | Basic abc                  |
      | operator's key            | Bearer @operator           |
      | key digest instead of key | Bearer @digest             |
      | two keys                  | Bearer @customer @customer |

  Scenario Outline: The <what> of another customer's request is not found
    Given a finished request of the customer "val-david"
    When the customer "morin-heights" asks for its <what>
    Then it gets status 404 and the error "not_found"
    And its own customer gets it with status 200

    # Guards against a violation of P1: a response that is given to another customer.
    Examples:
      | what    |
      | stream  |
      | outcome |

  # Guards against an answer of one request that is given to another with the same id, and
  # against a resubmission that is refused because its fields have another order.
  Scenario Outline: A request id is submitted again with <change>
    Given a finished request with two fields
    When it is submitted again with <change>
    Then the second submission gets status <status> and <text>

    Examples:
      | change                     | status | text            |
      | no change                  | 200    | complete        |
      | its fields in another order | 200   | complete        |
      | another prompt             | 400    | invalid_request |
      | another kind               | 400    | invalid_request |

  # Guards against a request that is run from a truncated body.
  Scenario: A request whose connection closes within the body is not run
    When a caller announces 1000 bytes, sends 100 and closes the connection
    Then no backend server received a call
    And the node serves a valid request
