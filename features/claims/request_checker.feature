Feature: The checker of request histories finds planted faults
  A check that can't fail proves nothing.

  Scenario: A sound history has no violation
    Given a sound history of keyed requests
    Then the request checker finds nothing

  Scenario Outline: A planted fault is found
    Given a sound history of keyed requests
    When the fault "<fault>" is planted in the request history
    Then the request checker finds only "<kind>"

    Examples:
      | fault                                  | kind          |
      | a key ran at two workers               | doubled       |
      | a request without a key ran twice      | doubled       |
      | a run was reported as not run          | false-not-run |
      | a request that never ran has an answer | false-run     |
      | two callers got each other's answers   | wrong-answer  |
      | a cut answer ended cleanly             | cut-answer    |
      | a second answer came late              | many-answers  |

  Scenario: A run of claims that grants every key twice is found
    When a site runs whose claims grant every key that is asked for
    Then the request checker finds only "doubled"
