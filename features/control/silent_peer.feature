Feature: Silent connections between members are replaced

  @real-clock @failure-silent-connection
  Scenario: A connection that went silent for good is given up for a new one
    Given two members whose connection passes a middlebox
    When the middlebox forgets the open connection without a word
    Then the third heartbeat at the latest is answered over a new connection
