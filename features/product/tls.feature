Feature: TLS on every port, with reloads
  Certificates are replaced while the process runs.

  @real-clock
  Scenario: Operators' calls need a token or a client certificate
    Given an operators' port with TLS and the token "a-long-token"
    Then a call without token or client certificate gets 401
    And a call with the token gets 200
    And a call with a client certificate of the authority gets 200
    And a call with a client certificate of another authority gets 401

  @real-clock
  Scenario: A replaced certificate is served to new connections
    Given an operators' port with TLS and the token "a-long-token"
    When the port's certificate is replaced
    Then a new connection sees the replaced certificate

  @real-clock
  Scenario: Members without a certificate of the authority are refused
    Given a members' port with mutual TLS
    Then a heartbeat with a certificate of the authority is answered
    And a heartbeat with a certificate of another authority is not answered

  Scenario: Material that doesn't fit is reported and the last good one stays
    Given TLS files with a certificate and its key
    When the key file is replaced by another key
    And 5 seconds pass for the reload
    Then the finding names "tls-key" and the first material stays in use
    When the certificate file is replaced to fit
    And 5 seconds pass for the reload
    Then the second material is in use
