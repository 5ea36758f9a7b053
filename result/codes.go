package result

// 10xx: the caller's request is rejected because of its path, headers or body. Nothing was dispatched for it.
const (
	MissingKey             Code = 1001
	WrongKey               Code = 1002
	MalformedBody          Code = 1003
	BodyTooLarge           Code = 1004
	UnknownClass           Code = 1005
	UnknownService         Code = 1006
	UnknownModel           Code = 1007
	KeyRequired            Code = 1008
	KeyReusedWithOtherBody Code = 1009
	KeyTooOld              Code = 1010
	BadDeadline            Code = 1011
	BadHeader              Code = 1012
	ClassKindMismatch      Code = 1013
	NotFound               Code = 1014
	MethodNotAllowed       Code = 1015
	UnknownRoute           Code = 1016
	RequestQuarantined     Code = 1017
	PartQuarantined        Code = 1018
)

// 12xx: the request is rejected for lack of capacity or time.
const (
	NoServer              Code = 1201
	CannotFinishInTime    Code = 1202
	QueueFull             Code = 1203
	ShedForHigherTier     Code = 1204
	DeadlinePassedInQueue Code = 1205
	RingFull              Code = 1206
	CallerLeft            Code = 1207
	OverUsageCap          Code = 1208
	ServerRateLimited     Code = 1209
	ServerBackoff         Code = 1210
	OverMemoryShare       Code = 1211
	LargerThanServer      Code = 1212
	StreamVersionGone     Code = 1213
	StreamVersionUnknown  Code = 1214
)

// 13xx: an attempt ended without a complete answer, or its outcome is not known.
const (
	RefusedNeverStarted       Code = 1301
	Cancelled                 Code = 1302
	EngineFailed              Code = 1303
	EngineLost                Code = 1304
	AnswerIncomplete          Code = 1305
	AnswerDigestMismatch      Code = 1306
	AnswerTooLarge            Code = 1307
	OutcomeUnknown            Code = 1308
	AttemptSuperseded         Code = 1309
	LeaseExpired              Code = 1310
	UnprovenAttemptAtDeadline Code = 1311
	CallerReadsNothing        Code = 1312
	EndedToFreeMemory         Code = 1313
)

// 14xx: the state of a process prevents it from handling the request.
const (
	Starting           Code = 1401
	Stopping           Code = 1402
	CutOffFromControl  Code = 1403
	ConfigurationOlder Code = 1404
	ControlUnavailable Code = 1405
	NotLeader          Code = 1406
	ProposalUnknown    Code = 1407
	ProposalQueueFull  Code = 1408
	UnlistedEntry      Code = 1409
)

// 15xx: errors in operators' calls.
const (
	OperatorKeyWrong Code = 1501
	VersionConflict  Code = 1502
	ChangeIDReused   Code = 1503
	FieldRefused     Code = 1504
	InvalidClass     Code = 1505
	IfMatchMissing   Code = 1506
	ChangeIDMissing  Code = 1507
	ClassInUse       Code = 1508
	UnknownServer    Code = 1509

	InvalidDesiredState Code = 1510
	InvalidRollout      Code = 1511
	RolloutInProgress   Code = 1512
	UnknownRollout      Code = 1513
)

// 16xx: errors in a settings file or a state chart file.
const (
	SettingsUnknownField  Code = 1601
	SettingsWrongType     Code = 1602
	SettingsWrongUnit     Code = 1603
	SettingsMissingKey    Code = 1604
	SettingsPortClash     Code = 1605
	SettingsBadAddress    Code = 1606
	SettingsBadDigest     Code = 1607
	SettingsUnreadable    Code = 1608
	SettingsTLS           Code = 1609
	SettingsDuplicateKey  Code = 1610
	SettingsSyntax        Code = 1611
	SettingsOutOfRange    Code = 1612
	SettingsDuplicateName Code = 1613
	ChartInvalid          Code = 1614
)

// 17xx: errors of the journal and the quorum.
const (
	JournalDamaged     Code = 1701
	DiskFull           Code = 1702
	SyncFailed         Code = 1703
	WrongDisk          Code = 1704
	SnapshotDamaged    Code = 1705
	JournalLocked      Code = 1706
	JournalVersion     Code = 1707
	QuorumLost         Code = 1708
	ReplicaRemoved     Code = 1709
	ReplicaChangeBusy  Code = 1710
	ReplicaNotCaughtUp Code = 1711
	EntryTooLarge      Code = 1712
)

// 18xx: errors of orders to engines.
const (
	FenceTooOld     Code = 1801
	ServerBusy      Code = 1802
	LastReadyCopy   Code = 1803
	WeightStoreBusy Code = 1804
	OrderRefused    Code = 1805
	OrderFailed     Code = 1806
	OrderExpired    Code = 1807
)

// 19xx: internal errors and errors of the protocol between processes.
const (
	Internal          Code = 1901
	ChartEventRefused Code = 1902
	BadMessage        Code = 1903
	ProtocolVersion   Code = 1904
	LinkClosed        Code = 1905
)
