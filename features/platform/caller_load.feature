@real-clock
Feature: What callers hold at once is bounded
  # Guards against an entry host that runs out of memory because of many large bodies.
  Scenario: Large bodies that callers send slowly are refused in time, small ones served
    Given a server for callers
    When 60 callers send all but 1 of the 262144 bytes of a submission
    Then at least 36 of them are told to come back after a second
    And a small submission is accepted
    When the others send their last byte
    Then they are answered

  # Guards against an entry host that runs out of memory because of requests whose answers nobody reads.
  Scenario: A connection with too many unanswered requests is reset
    Given a server for callers
    When a caller sends 2000 requests without reading an answer
    Then its connection is reset with at most 32 of them in progress
    And a small submission is accepted

  Scenario: A body that is too large is refused before it is sent
    Given a server for callers
    When a caller announces a body of 262145 bytes
    Then it is answered with 413
