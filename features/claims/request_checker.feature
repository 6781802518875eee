Feature: The checker of request histories finds known violations
  The checker is tested with histories that contain a known violation.

  Scenario: A valid history has no violation
    Given a valid history of keyed requests
    Then the request checker finds nothing

  Scenario Outline: A known violation is found
    Given a valid history of keyed requests
    When the violation "<violation>" is added to the request history
    Then the request checker finds only "<kind>"

    Examples:
      | violation                                  | kind          |
      | a key ran at two workers                   | doubled       |
      | a request without a key ran twice          | doubled       |
      | a request reported as not run has a run    | false-not-run |
      | a request without a run has an answer      | false-run     |
      | the answers of two callers are swapped     | wrong-answer  |
      | a truncated answer is reported as complete | cut-answer    |
      | a request has a second answer              | many-answers  |

  Scenario: Claims that grant the same key twice are found
    When two requests with the same key are run with claims that grant every key
    Then the request checker finds only "doubled"
