Feature: Silent connections to the key-value service
  One time limit costs one call; the connections that may be silent too are left.

  @real-clock @failure-silent-connection
  Scenario: Every open connection goes silent at once
    Given a key-value service with 6 open connections of one client
    When its open connections go silent
    Then one call to the key-value service is lost and 6 calls after it are answered

  @failure-lost-answer @real-clock
  Scenario Outline: Only a refusal of the service itself proves that nothing was written
    Given a key-value service that answers every call with <status>
    Then a swap there fails with "<failure>"

    Examples:
      | status | failure     |
      | 503    | unreachable |
      | 400    | rejected    |
      | 500    | answer-lost |
      | 502    | answer-lost |
