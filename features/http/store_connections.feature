Feature: Silent connections to the key-value service
  After one call times out, the client opens new connections, since the others may be silent too.

  @real-clock @failure-silent-connection
  Scenario: All open connections become silent at the same time
    Given a key-value service with 6 open connections of one client
    When its open connections become silent
    Then one call to the key-value service is lost and the next 6 calls are answered

  # Guards against a large value that is never read because each transfer is aborted and restarted.
  @real-clock @failure-slow-link
  Scenario: The transfer of a value takes longer than a call's timeout
    Given a key-value service that takes 1800 ms to transfer an answer
    Then a value is read from the key-value service

  # Guards against a call that waits forever for the rest of an answer.
  @real-clock @failure-silent-connection
  Scenario: The transfer of a value stops halfway
    Given a key-value service whose answers stop halfway
    Then a swap at the key-value service fails with "answer-lost"

  @failure-lost-answer @real-clock
  Scenario Outline: Only a refusal by the service itself proves that nothing was written
    Given a key-value service that answers every call with <status>
    Then a swap at the key-value service fails with "<failure>"

    Examples:
      | status | failure     |
      | 503    | unreachable |
      | 400    | rejected    |
      | 500    | answer-lost |
      | 502    | answer-lost |
