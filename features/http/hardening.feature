Feature: Hardening of the ports against malformed input
  No input stops a port, and every malformed HTTP request gets an answer that describes the error.

  Scenario Outline: Random input to the <port> port
    Given the HTTP ports of an entry host
    When 400 random inputs of seed 7 are sent to the "<port>" port
    Then each random input got a 4xx answer that describes the error
    And the "<port>" port still answers

    Examples:
      | port      |
      | callers   |
      | operators |

  @real-clock
  Scenario: Random bytes sent to the peer port
    Given a peer port that answers heartbeats
    When 100 random inputs of seed 8 are sent to the peer port
    Then the peer port still answers heartbeats

  @promise-whole-answer
  Scenario Outline: Requests with ambiguous or repeated headers are refused
    Given the HTTP ports of an entry host
    When a request with the headers "<headers>" is sent to the callers' port
    Then the callers' port answers 400 with "<detail>"

    Examples:
      | headers                                                   | detail         |
      | content-length: 3; transfer-encoding: chunked             | ambiguous      |
      | content-length: 3; content-length: 4                      | Content-Length |
      | transfer-encoding: chunked, identity                      | ambiguous      |
      | content-length: +3                                        | Content-Length |
      | content-length: 3; idempotency-key: a; idempotency-key: b | more than once |

  Scenario: Bodies and headers that are too large are refused with the reason
    Given the HTTP ports of an entry host
    When a body of 2000000 bytes with an idempotency key is sent to the callers' port
    Then the callers' port answers 413 with "exceeds"
    When a chunked body of 2000000 bytes with an idempotency key is sent to the callers' port
    Then the callers' port answers 413 with "exceeds"
    When a request with a content length of 70000000 bytes is sent to the callers' port
    Then the callers' port answers 413 with "exceeds"
    When headers of 20000 bytes are sent to the callers' port
    Then the callers' port answers 431 with "too long"

  Scenario: An incomplete request is answered after a timeout
    Given the HTTP ports of an entry host with short timeouts
    When an incomplete request is sent to the callers' port and its connection stays open
    Then the callers' port answers 408 with "in time"

  Scenario: The callers' port has no operator routes and refuses path traversal
    Given the HTTP ports of an entry host
    Then the callers' port answers 404 to "/v1/hosts"
    And the callers' port answers 404 to "/metrics"
    And the callers' port answers 400 to "/services/planner-api/../../report"
    And the callers' port answers 400 to "/services/planner-api/%2E%2e/report"
    And the callers' port answers 400 to "/services/planner-api/a#b"

  @promise-whole-answer
  Scenario Outline: An answer of a worker with a wrong length is never passed on as complete
    Given the HTTP ports of an entry host
    When the answer of a worker has a content length of 10 bytes and a body of <bytes> bytes
    Then the caller does not receive a complete answer

    Examples:
      | bytes |
      | 4     |
      | 12    |

  @promise-whole-answer
  Scenario: A long body without an idempotency key is streamed
    Given the HTTP ports of an entry host
    When a body of 3000000 bytes is streamed through the callers' port
    Then the streamed body is received completely

  @promise-whole-answer @promise-at-most-once
  Scenario: A truncated streamed body is never passed on as complete
    Given the HTTP ports of an entry host
    When the sender of a streamed body disconnects halfway
    Then the streamed body ends with an error

  @promise-at-most-once
  Scenario: A streamed body is sent to at most one worker
    Given workers that accept a streamed body only once
    When a streamed body is sent to two workers in sequence
    Then only the first worker received the streamed body

  @promise-not-run
  Scenario: An internal error is not reported as not run
    Given the HTTP ports of an entry host
    When an internal error occurs while a request is running
    Then the callers' port answers 502 with "internal error"
    And the answer's outcome is "unknown"

  @promise-whole-answer @promise-not-run
  Scenario: Malformed bytes after a request do not replace its answer
    Given the HTTP ports of an entry host
    When malformed bytes follow a running request
    Then the caller receives only the answer to its request

  @promise-graceful-stop
  Scenario: Connections are closed after their next answer once a stop has begun
    Given the HTTP ports of an entry host
    When the callers' listener starts closing
    Then the next answer of the callers' port closes its connection
