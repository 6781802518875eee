Feature: The HTTP ports withstand bad input
  No input stops a port, and each gets an answer that says what was wrong.

  Scenario Outline: Random input at the <port> port
    Given the HTTP ports of an entry host
    When 400 random inputs of seed 7 go to the "<port>" port
    Then each random input got a 4xx that says what was wrong
    And the "<port>" port still answers

    Examples:
      | port      |
      | callers   |
      | operators |

  @real-clock
  Scenario: Random bytes at the members' port
    Given a members' port that answers heartbeats
    When 100 random inputs of seed 8 go to the members' port
    Then the members' port still answers heartbeats

  @promise-whole-answer
  Scenario Outline: A length that can be read in two ways is refused
    Given the HTTP ports of an entry host
    When a request with the headers "<headers>" goes to the callers' port
    Then the callers' port answers 400 with "<detail>"

    Examples:
      | headers                                       | detail         |
      | content-length: 3; transfer-encoding: chunked | ambiguous      |
      | content-length: 3; content-length: 4          | Content-Length |
      | transfer-encoding: chunked, identity          | ambiguous      |
      | content-length: +3                            | Content-Length |
      | content-length: 3; idempotency-key: a; idempotency-key: b | more than once |

  Scenario: Too much of anything is refused with its reason
    Given the HTTP ports of an entry host
    When a keyed body of 2000000 bytes goes to the callers' port
    Then the callers' port answers 413 with "exceeds"
    When a keyed chunked body of 2000000 bytes goes to the callers' port
    Then the callers' port answers 413 with "exceeds"
    When a request that states a body of 70000000 bytes goes to the callers' port
    Then the callers' port answers 413 with "exceeds"
    When headers of 20000 bytes go to the callers' port
    Then the callers' port answers 431 with "too long"

  Scenario: A sender that never finishes is cut off
    Given the HTTP ports of an entry host with short time limits
    When half a request goes to the callers' port and its sender waits
    Then the callers' port answers 408 with "in time"

  Scenario: The callers' port has no operator routes and lets no path out
    Given the HTTP ports of an entry host
    Then the callers' port answers 404 to "/v1/hosts"
    And the callers' port answers 404 to "/metrics"
    And the callers' port answers 400 to "/services/planner-api/../../report"
    And the callers' port answers 400 to "/services/planner-api/%2E%2e/report"
    And the callers' port answers 400 to "/services/planner-api/a#b"

  @promise-whole-answer
  Scenario Outline: A worker's answer of the wrong length never looks whole
    Given the HTTP ports of an entry host
    When a worker's answer states 10 bytes and has <bytes>
    Then the caller sees a broken transfer

    Examples:
      | bytes |
      | 4     |
      | 12    |

  @promise-whole-answer
  Scenario: A long body without a key is passed on as it comes
    Given the HTTP ports of an entry host
    When a body of 3000000 bytes is streamed through the callers' port
    Then the streamed body arrives whole

  @promise-whole-answer @promise-at-most-once
  Scenario: A streamed body that is cut never looks whole
    Given the HTTP ports of an entry host
    When the sender of a streamed body goes away halfway
    Then the streamed body ends with an error

  @promise-at-most-once
  Scenario: A streamed body goes to one worker only
    Given workers that take a streamed body once
    When a streamed body is sent to two workers in turn
    Then only the first worker got the streamed body

  @promise-not-run
  Scenario: An internal error is not reported as not run
    Given the HTTP ports of an entry host
    When running a request fails inside the entry host
    Then the callers' port answers 502 with "internal error"
    And the answer's outcome is "unknown"

  @promise-whole-answer @promise-not-run
  Scenario: Garbage behind a request is not answered in the request's place
    Given the HTTP ports of an entry host
    When garbage follows a request that runs
    Then the request's caller has no answer but its own

  @promise-graceful-stop
  Scenario: Connections end with their next answer once a stop has begun
    Given the HTTP ports of an entry host
    When the callers' listener starts closing
    Then the next answer of the callers' port ends its connection
