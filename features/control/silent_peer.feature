Feature: Silent connections between members are replaced

  @real-clock @failure-silent-connection
  Scenario: A connection that has become permanently silent is replaced
    Given two members that are connected through a middlebox
    When the middlebox silently drops all traffic of the open connection
    Then two heartbeats time out and the third one is answered over a new connection
